#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

/// Structured logs: one JSON object per line. Lines are buffered and written by another thread: writing one never blocks,
/// and lines that don't fit into the buffer are dropped and counted.
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
    Membership,
    Limits,
    Pool,
    Targets,
    Requests,
    Jobs,
    Dispatch,
    Capacity,
    Store
};

enum class log_output {
    StandardOutput,
    StandardError
};

struct log_field {
    const char* name;
    std::string value;
};

/// Starts logging for the process; `instance` is a field of each line.
void startLogging(log_level lowest, std::string_view instance, log_output = log_output::StandardError);

/// Writes the lines that are still buffered, also called at exit. Later lines go nowhere.
void stopLogging();

/// Writes one line. Must not contain keys or payloads.
void writeLog(log_level, log_category, std::string_view message);

/// Writes one line about an event, with named fields.
void writeEvent(log_level, log_category, std::string_view event, std::initializer_list<log_field>);
void writeEvent(log_level, log_category, std::string_view event, std::span<const log_field>);

}
