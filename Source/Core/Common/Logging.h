#pragma once

#include <string_view>

/// Structured logs: one JSON object a line on standard error.
namespace Common {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error
};

/// Part of the program that a log line is about.
enum class log_category {
    Daemon,
    PlatformLog,
    Roster,
    Limits,
    Pool,
    Targets,
    Requests
};

/// Starts logging for the process; `instance` stands in each line.
void startLogging(log_level lowest, std::string_view instance);

/// Writes one line. Keys and payloads are never passed here.
void writeLog(log_level, log_category, std::string_view message);

}
