#include "Dispatch/WorkerState.h"

#include <algorithm>

namespace Dispatch {

namespace {

    /// Workers' clocks may run 2% slow; 3% leaves a margin.
    constexpr double maxClockSlowness = 1.03;
    /// Time that a worker may take to stop its runs after their lease has expired.
    constexpr Common::millis expirySlack { 150 };

}

worker_state::worker_state(worker_entry registered)
    : entry(std::move(registered))
{
}

void worker_state::learnClock(worker_millis clock, Common::instant receivedAt)
{
    m_clock = clock_reading { .clock = clock, .at = receivedAt };
}

worker_millis worker_state::clockAt(Common::instant now) const
{
    if (!m_clock)
        return {};
    return { m_clock->clock.value + Common::elapsed(m_clock->at, now).count() };
}

worker_millis worker_state::grantLease(Common::instant now, Common::millis lease)
{
    const auto slow = std::chrono::duration<double, std::milli>(static_cast<double>(lease.count()) * maxClockSlowness);
    leaseExpiryBound = std::max(
        leaseExpiryBound, now + std::chrono::duration_cast<Common::boot_clock::duration>(slow) + expirySlack);
    return { clockAt(now).value + lease.count() };
}

void worker_state::beginIncarnation(worker_entry registered)
{
    entry = std::move(registered);
    hasReported = false;
    seenEnd = {};
    storedEnd = {};
    failuresInRow = 0;
    unansweredPolls = 0;
    m_clock.reset();
    runs.clear();
    m_used = {};
}

Jobs::resources worker_state::free() const { return entry.capacity - m_used; }

Common::millicores worker_state::spareProcessor() const
{
    Common::millicores left = free().processor;
    for (const auto& [name, run] : runs) {
        if (run.isBestEffort)
            left -= run.request.processor;
    }
    return left;
}

Jobs::resources worker_state::charge(const task_run& run)
{
    auto amount = run.request;
    if (run.isBestEffort)
        amount.processor = {};
    return amount;
}

task_run& worker_state::addRun(const Jobs::task_name& name, const task_run& run)
{
    removeRun(name);
    m_used += charge(run);
    return runs[name] = run;
}

void worker_state::removeRun(const Jobs::task_name& name)
{
    const auto found = runs.find(name);
    if (found == runs.end())
        return;
    m_used -= charge(found->second);
    runs.erase(found);
}

bool worker_state::hasLongRunningRuns() const
{
    return std::any_of(runs.begin(), runs.end(),
        [](const auto& entry) { return entry.second.isLongRunning || entry.second.isBestEffort; });
}

}
