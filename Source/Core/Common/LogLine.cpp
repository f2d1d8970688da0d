#include "Common/LogLine.h"

#include "Common/JsonFields.h"

#include <array>
#include <charconv>
#include <ctime>

namespace Common {

namespace {

    constexpr int millisDigits = 3;

    /// Local time to the second; the last one is kept, as most lines are written in the same second as another.
    std::string_view localTime(std::time_t seconds)
    {
        struct formatted_time {
            std::time_t seconds { -1 };
            std::array<char, 32> text {};
            std::size_t length { 0 };
        };
        thread_local formatted_time last;
        if (last.seconds != seconds) {
            std::tm parts {};
            localtime_r(&seconds, &parts);
            last.length = std::strftime(last.text.data(), last.text.size(), "%Y-%m-%d %H:%M:%S", &parts);
            last.seconds = seconds;
        }
        return { last.text.data(), last.length };
    }

    void appendTime(std::string& out, std::chrono::system_clock::time_point when)
    {
        const auto seconds = std::chrono::floor<std::chrono::seconds>(when);
        const auto millisPart = std::chrono::floor<std::chrono::milliseconds>(when - seconds).count();
        out += localTime(std::chrono::system_clock::to_time_t(seconds));
        std::array<char, millisDigits> digits {};
        const auto end = std::to_chars(digits.begin(), digits.end(), millisPart).ptr;
        const auto length = static_cast<std::size_t>(end - digits.begin());
        out += ',';
        out.append(digits.size() - length, '0');
        out.append(digits.data(), length);
    }

    void appendField(std::string& out, std::string_view name, std::string_view value)
    {
        appendJsonString(out, name);
        out += ": ";
        appendJsonString(out, value);
    }

}

void appendLogLine(std::string& out, const log_line& line)
{
    out += R"({ "timestamp": ")";
    appendTime(out, line.when);
    out += R"(", "level": )";
    appendJsonString(out, line.level);
    out += R"(, "logger": )";
    appendJsonString(out, line.logger);
    out += R"(, "message": )";
    appendJsonString(out, line.message);
    out += R"(, "context_map": { )";
    appendField(out, "instance", line.instance);
    for (const auto& field : line.fields) {
        out += ", ";
        appendField(out, field.name, field.value);
    }
    out += " } }\n";
}

}
