#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Sessions {

/// A program started by a test; killed when the object goes.
class child_process {
public:
    /// Output goes to `outputFile`.
    child_process(const std::vector<std::string>& words, const std::string& outputFile,
        const std::vector<std::string>& environment = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// Waits for the end and returns the exit code, or minus the number of the signal that ended it.
    int wait();

private:
    pid_t m_process { -1 };
};

std::string readWhole(const std::string& path);

}
