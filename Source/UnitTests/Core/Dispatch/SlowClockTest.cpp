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
    auto readAt = f.now;
    const std::int64_t clockRead = 5000;
    f.now += idle;
    f.add(f.job("j", { f.step(1) }));
    auto starts = f.plan().starts;
    if (starts.empty()) {
        // The reading is too old to start by it.
        f.answerPoll(f.nextPoll().value());
        readAt = f.now;
        starts = f.plan().starts;
    }
    const auto start = starts.at(0);
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

/// Guards against two runs at once: the next leader starts a task again while a lease of its predecessor lasts on a slow clock.
TEST_CASE("No lease outlasts what the next leader assumes, however long ago the worker's slow clock was read",
    "[dispatch][lease]")
{
    constexpr double clockRate = 0.98;
    constexpr double clockRead = 5000;
    const auto longestLease = static_cast<double>(Dispatch::worker_bounds().longestLease.count());
    const auto idle = GENERATE(std::chrono::seconds(0), std::chrono::seconds(30), std::chrono::seconds(95),
        std::chrono::seconds(250), std::chrono::seconds(3600));
    const auto disputed = GENERATE(std::chrono::milliseconds(-500), std::chrono::milliseconds(500), std::chrono::milliseconds(3000),
        std::chrono::milliseconds(5000), std::chrono::milliseconds(7000));
    CAPTURE(idle.count(), disputed.count());
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    auto readAt = f.now;
    f.now += idle;
    f.add(f.job("j", { f.step(2) }),
        { .state = Jobs::job_state::Running, .tasks = { { .occurrence = 0, .step = 0, .index = 0, .isDone = true } } });
    // The store stops answering; the next leader may take over as soon as the leadership isn't confirmed any more.
    f.isConfirmed = false;
    f.isStored = false;
    f.status.isStoreUnresponsive = true;
    f.status.confirmedUntil = f.now + std::chrono::milliseconds(500);
    f.now = f.status.confirmedUntil + disputed;
    const auto assumedEnd = Dispatch::latestLeaseEnd(f.status.confirmedUntil, Dispatch::lease_options().maxLease);
    const auto endOf = [&](Dispatch::worker_millis deadline) {
        const std::chrono::duration<double, std::milli> age = f.now - readAt;
        const double clock = clockRead + age.count() * clockRate;
        const double granted = std::min(static_cast<double>(deadline.value) - clock, longestLease);
        return f.now + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double, std::milli>(granted / clockRate));
    };
    auto starts = f.plan().starts;
    if (starts.empty()) {
        // The reading is too old to start by it.
        f.answerPoll(f.nextPoll().value());
        readAt = f.now;
        starts = f.plan().starts;
    }
    REQUIRE(starts.size() == 1);
    CHECK(endOf(starts[0].deadline) <= assumedEnd);
    f.accept(starts[0]);
    const auto poll = f.nextPoll().value();
    if (poll.deadline)
        CHECK(endOf(*poll.deadline) <= assumedEnd);
}
