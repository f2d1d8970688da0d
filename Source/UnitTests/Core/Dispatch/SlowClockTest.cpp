#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

/// Guards against leases that last longer than the leader assumes: the task of a worker that is cut off then runs twice.
TEST_CASE("A lease ends when the leader assumes at the latest, however long ago the worker's slow clock was read",
    "[dispatch][lease]")
{
    constexpr double clockRate = 0.98;
    const auto idle = GENERATE(std::chrono::seconds(0), std::chrono::seconds(10), std::chrono::seconds(95),
        std::chrono::seconds(3600));
    CAPTURE(idle.count());
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    const auto readAt = f.now;
    const std::int64_t clockRead = 5000;
    f.now += idle;
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    const auto longestLease = static_cast<double>(Dispatch::worker_bounds().longestLease.count());
    const auto age = std::chrono::duration<double, std::milli>(f.now - readAt).count();
    const double clock = static_cast<double>(clockRead) + age * clockRate;
    const double granted = std::min(static_cast<double>(start.deadline.value) - clock, longestLease);
    const std::chrono::duration<double, std::milli> lasts(granted / clockRate);
    const auto assumed = f.dispatcher.workers().at({ "w1" }).leaseExpiryBound;
    CHECK(assumed >= f.now + std::chrono::duration_cast<std::chrono::nanoseconds>(lasts));
    // Waiting longer than the longest lease would serve nothing.
    CHECK(assumed <= f.now + Dispatch::worker_bounds().longestLease + std::chrono::milliseconds(500));
}
