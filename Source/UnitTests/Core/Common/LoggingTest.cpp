#include "Common/Logging.h"
#include "Common/JsonFields.h"
#include "Common/LineWriter.h"
#include "Common/LogLine.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <poll.h>
#include <random>
#include <thread>
#include <unistd.h>

using Common::log_category;
using Common::log_level;
using std::chrono::milliseconds;

namespace {

/// Pipe whose reader reads only when it is told to.
class idle_pipe {
public:
    idle_pipe() { REQUIRE(::pipe(m_ends.data()) == 0); }
    ~idle_pipe()
    {
        closeWriteEnd();
        ::close(m_ends[0]);
    }
    idle_pipe(const idle_pipe&) = delete;
    idle_pipe& operator=(const idle_pipe&) = delete;

    int writeEnd() const { return m_ends[1]; }

    void closeWriteEnd()
    {
        if (m_ends[1] >= 0)
            ::close(m_ends[1]);
        m_ends[1] = -1;
    }

    /// Reads until `isEnough` says so, the pipe is closed, or nothing has come for a long time.
    std::string readUntil(const std::function<bool(const std::string&)>& isEnough) const
    {
        std::string text;
        std::array<char, 65536> block {};
        while (!isEnough(text) && isReadable(std::chrono::seconds(20))) {
            const auto size = ::read(m_ends[0], block.data(), block.size());
            if (size <= 0)
                break;
            text.append(block.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    std::string read(std::size_t bytes) const
    {
        return readUntil([bytes](const std::string& text) { return text.size() >= bytes; });
    }

    std::string readToEnd() const
    {
        return readUntil([](const std::string&) { return false; });
    }

    bool isReadable(milliseconds wait) const
    {
        pollfd readable { .fd = m_ends[0], .events = POLLIN, .revents = 0 };
        return ::poll(&readable, 1, static_cast<int>(wait.count())) > 0;
    }

private:
    std::array<int, 2> m_ends { -1, -1 };
};

std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

/// Standard error is a pipe while this exists.
class standard_error_to_pipe {
public:
    standard_error_to_pipe()
        : m_original(::dup(STDERR_FILENO))
    {
        ::dup2(pipe.writeEnd(), STDERR_FILENO);
        pipe.closeWriteEnd();
    }
    ~standard_error_to_pipe() { restore(); }
    standard_error_to_pipe(const standard_error_to_pipe&) = delete;
    standard_error_to_pipe& operator=(const standard_error_to_pipe&) = delete;

    void restore()
    {
        if (m_original < 0)
            return;
        ::dup2(m_original, STDERR_FILENO);
        ::close(m_original);
        m_original = -1;
    }

    idle_pipe pipe;

private:
    int m_original;
};

std::string reportOf(std::uint64_t count) { return "dropped " + std::to_string(count); }

}

TEST_CASE("Lines are written while nobody reads the log", "[logging]")
{
    constexpr int lineCount = 20'000;
    standard_error_to_pipe redirected;
    Common::startLogging(log_level::Info, "instance-1");
    std::promise<void> written;
    auto isWritten = written.get_future();
    std::thread writer([&written] {
        for (int number = 0; number < lineCount; ++number)
            Common::writeEvent(log_level::Info, log_category::Jobs, "event", { { "number", std::to_string(number) } });
        written.set_value();
    });
    const bool wasBlocked = isWritten.wait_for(std::chrono::seconds(10)) != std::future_status::ready;
    CHECK_FALSE(wasBlocked);

    // The reader reads again.
    std::atomic<bool> isComplete { false };
    std::string text;
    std::thread reader([&] {
        text = redirected.pipe.readUntil(
            [](const std::string& read) { return read.ends_with('\n') && read.find("\"last\"") != std::string::npos; });
        isComplete = true;
    });
    writer.join();
    // The first of these may be dropped too.
    while (!isComplete) {
        Common::writeEvent(log_level::Info, log_category::Jobs, "last", {});
        std::this_thread::sleep_for(milliseconds(50));
    }
    reader.join();
    Common::stopLogging();
    redirected.restore();

    // Lines that didn't fit are counted in a line at their place; all others are complete and in order.
    int next = 0;
    int reports = 0;
    for (const auto& line : linesOf(text)) {
        auto parsed = Common::parseJson(line);
        REQUIRE(parsed);
        const auto message = (*parsed)["message"].get<std::string>();
        if (message == "event") {
            REQUIRE((*parsed)["context_map"]["number"] == std::to_string(next));
            ++next;
        } else if (message == "log_lines_dropped") {
            CHECK((*parsed)["level"] == "WARN");
            next += std::stoi((*parsed)["context_map"]["count"].get<std::string>());
            ++reports;
        }
    }
    CHECK(reports > 0);
    // Lines named "last" may be among those that were dropped.
    CHECK(next >= lineCount);
}

TEST_CASE("A clean stop loses no line", "[logging]")
{
    constexpr int lineCount = 500;
    standard_error_to_pipe redirected;
    Common::startLogging(log_level::Info, "instance-1");
    std::string text;
    std::thread reader([&] { text = redirected.pipe.readToEnd(); });
    for (int number = 0; number < lineCount; ++number)
        Common::writeLog(log_level::Info, log_category::Store, std::to_string(number));
    Common::writeLog(log_level::Debug, log_category::Store, "below the lowest level");
    Common::stopLogging();
    redirected.restore();
    reader.join();
    const auto lines = linesOf(text);
    REQUIRE(lines.size() == lineCount);
    for (std::size_t index = 0; index < lines.size(); ++index) {
        auto line = Common::parseJson(lines[index]);
        REQUIRE(line);
        CHECK((*line)["message"] == std::to_string(index));
        CHECK((*line)["logger"] == "store");
        CHECK((*line)["level"] == "INFO");
        CHECK((*line)["context_map"] == Common::json { { "instance", "instance-1" } });
    }
}

TEST_CASE("A line writer keeps lines until they are due", "[logging]")
{
    idle_pipe pipe;

    SECTION("lines are collected for the flush interval and written in order")
    {
        Common::line_writer writer({ .descriptor = pipe.writeEnd(), .flushInterval = std::chrono::seconds(3) });
        writer.write("1\n", false);
        writer.write("2\n", false);
        CHECK_FALSE(pipe.isReadable(milliseconds(20)));
        CHECK(pipe.read(4) == "1\n2\n");
    }

    SECTION("an urgent line is written at once, after the lines before it")
    {
        Common::line_writer writer({ .descriptor = pipe.writeEnd(), .flushInterval = std::chrono::minutes(10) });
        writer.write("1\n", false);
        writer.write("error\n", true);
        CHECK(pipe.read(8) == "1\nerror\n");
    }

    SECTION("a buffer that is half full is written before the interval is over")
    {
        Common::line_writer writer(
            { .descriptor = pipe.writeEnd(), .bufferBytes = 100, .flushInterval = std::chrono::minutes(10) });
        writer.write(std::string(59, 'x') + '\n', false);
        CHECK(pipe.read(60).size() == 60);
    }

    SECTION("a line that doesn't fit is dropped and reported")
    {
        Common::line_writer writer(
            { .descriptor = pipe.writeEnd(), .bufferBytes = 10, .flushInterval = milliseconds(100), .reportDropped = reportOf });
        writer.write(std::string(20, 'x') + '\n', false);
        writer.write("short\n", false);
        CHECK(pipe.read(16) == "short\ndropped 1\n");
    }

    SECTION("a stop with a reader that doesn't read ends after its time, and says so")
    {
        const std::string large(200'000, 'x');
        auto writer = std::make_unique<Common::line_writer>(Common::line_writer_options {
            .descriptor = pipe.writeEnd(), .flushInterval = milliseconds(1), .stopTimeout = milliseconds(100) });
        writer->write(large + '\n', false);
        CHECK_FALSE(writer->stop());
        writer.reset();
        CHECK(pipe.read(large.size() + 1).size() == large.size() + 1);
    }

    SECTION("lines to a pipe without a reader are ignored")
    {
        Common::line_writer writer(
            { .descriptor = -1, .flushInterval = milliseconds(1), .stopTimeout = std::chrono::seconds(20) });
        writer.write("1\n", true);
        CHECK(writer.stop());
    }
}

TEST_CASE("Any bytes in a line give valid JSON", "[logging]")
{
    const auto encode = [](const std::string& message, const std::string& value) {
        const std::array<Common::log_field, 1> fields { { { "field", value } } };
        std::string line;
        Common::appendLogLine(line,
            { .when = std::chrono::system_clock::now(),
                .level = "INFO",
                .logger = "jobs",
                .message = message,
                .instance = value,
                .fields = fields });
        return line;
    };

    SECTION("text that is valid UTF-8 is read back as it was")
    {
        const std::string text = "a \"quote\", a \\ and \x01\b\f\n\r\t\x1f\x7f, \xc3\xa9 and \xf0\x9f\x90\x89";
        const auto parsed = Common::parseJson(encode(text, text));
        REQUIRE(parsed);
        CHECK((*parsed)["message"] == text);
        CHECK((*parsed)["context_map"]["field"] == text);
    }

    SECTION("random bytes")
    {
        std::mt19937 random(7);
        std::uniform_int_distribution<int> anyByte(0, 255);
        for (int round = 0; round < 5000; ++round) {
            std::string text(static_cast<std::size_t>(round % 40), ' ');
            for (auto& character : text)
                character = static_cast<char>(anyByte(random));
            const auto line = encode(text, text);
            REQUIRE(Common::parseJson(line));
            REQUIRE(line.find('\n') == line.size() - 1);
        }
    }

    SECTION("the milliseconds of the time have three digits")
    {
        std::string line;
        Common::appendLogLine(line, { .when = std::chrono::system_clock::time_point(milliseconds(7)) });
        CHECK(line.find(":00,007\"") != std::string::npos);
    }
}
