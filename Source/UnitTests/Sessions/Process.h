#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Sessions {

/// A program started by a test; killed by the destructor.
class child_process {
public:
    /// Appends standard output and error to `outputFile`.
    child_process(const std::vector<std::string>& words, const std::string& outputFile,
        const std::vector<std::string>& environment = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const { return m_process; }
    void signal(int number) const;
    /// Waits for the end and returns the exit code, or the negated number of the signal that ended it.
    int wait();

private:
    pid_t m_process { -1 };
};

std::string readFile(const std::string& path);

}
