#pragma once

#include "Sessions/Deployment.h"

#include <string>

namespace Sessions {

/// A session as text: each call and its answer, with placeholders for values that differ between runs.
class transcript {
public:
    /// Adds a comment line.
    void say(const std::string& line);
    /// Adds a call and its answer.
    void call(const std::string& what, const call_result&);
    /// Adds a run of the operators' client with its output and exit code.
    void client(const std::vector<std::string>& words, const std::string& output, int exitCode);

    /// Compares with the golden file of that name, or writes that file if LOFT_GOLDEN_WRITE is set.
    void compare(const std::string& name) const;

private:
    std::string m_text;
};

}
