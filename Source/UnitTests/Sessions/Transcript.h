#pragma once

#include "Sessions/Deployment.h"

#include <string>

namespace Sessions {

/// Whole session as text: each call and its answer, with what differs from run to run replaced.
class transcript {
public:
    void say(const std::string& line);
    /// Notes a call and its answer.
    void call(const std::string& what, const call_result&);
    /// Notes a run of the operators' client, what it printed and its exit code.
    void client(const std::vector<std::string>& words, const std::string& output, int exitCode);

    /// Compares with the golden file of that name. With LOFT_GOLDEN_WRITE set it is written instead.
    void compare(const std::string& name) const;

private:
    std::string m_text;
};

}
