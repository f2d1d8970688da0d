#pragma once

#include "Common/Logging.h"

#include <chrono>
#include <span>
#include <string>
#include <string_view>

namespace Common {

/// Content of one line of the log.
struct log_line {
    std::chrono::system_clock::time_point when;
    std::string_view level;
    std::string_view logger;
    std::string_view message;
    std::string_view instance;
    std::span<const log_field> fields;
};

/// Appends the line as a JSON object, with its line break. Bytes that aren't UTF-8 are replaced.
void appendLogLine(std::string& out, const log_line&);

}
