#pragma once

#include "Common/Ids.h"

#include <chrono>

namespace Common {

/// Monotonic clock that also counts the time in which the machine was suspended.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now();
};

using instant = boot_clock::time_point;
using millis = std::chrono::milliseconds;

/// Wall-clock time, for timestamps that people read and for deadlines of queued work.
wall_millis wallNow();

/// Whole milliseconds from `from` to `to`, never below zero.
millis elapsed(instant from, instant to);

}
