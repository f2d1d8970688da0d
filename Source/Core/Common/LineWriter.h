#pragma once

#include "Common/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Common {

struct line_writer_options {
    int descriptor { 2 };
    /// Lines that don't fit into this buffer are dropped.
    std::size_t bufferBytes { 1024UL * 1024 };
    /// Longest time for which a line waits in the buffer while the descriptor can be written.
    millis flushInterval { 100 };
    /// Longest time for which stop() waits for a reader.
    millis stopTimeout { 500 };
    /// Makes the line that reports a number of dropped lines, without its line break.
    std::function<std::string(std::uint64_t)> reportDropped;
};

/// Writes lines to a descriptor in few calls, on a thread of its own, so that a reader that doesn't read never blocks
/// the writer of a line. Lines keep their order. Thread-safe.
class line_writer {
public:
    explicit line_writer(line_writer_options);
    ~line_writer();
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// Adds a line, which must end with a line break; `isUrgent` has the buffer written at once.
    void write(std::string_view line, bool isUrgent);
    /// Writes the buffered lines. False when the reader didn't take them in time. Later lines are ignored.
    bool stop();

private:
    struct state;
    /// Shared with the thread, which outlives this object when the descriptor blocks.
    std::shared_ptr<state> m_state;
};

}
