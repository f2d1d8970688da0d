#include "Dispatch/WorkerState.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

    /// Workers' clocks may run 2% slow; 3% leaves a margin.
    constexpr double maxClockSlowness = 1.03;
    /// Time that a worker may take to stop its runs after their lease has expired.
    constexpr Common::millis expirySlack { 150 };

}

worker_state::worker_state(worker_entry registered)
    : entry(std::move(registered))
    , m_fullCapacity(entry.capacity)
{
}

void worker_state::updateEntry(worker_entry registered)
{
    entry = std::move(registered);
    m_fullCapacity = Jobs::largest(m_fullCapacity, entry.capacity);
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

Common::instant latestLeaseEnd(Common::instant grantedAt, Common::millis lease)
{
    const auto slow = std::chrono::duration<double, std::milli>(static_cast<double>(lease.count()) * maxClockSlowness);
    return grantedAt + std::chrono::duration_cast<Common::boot_clock::duration>(slow) + expirySlack;
}

void worker_state::noteLease(Common::instant now, Common::millis lease)
{
    leaseExpiryBound = std::max(leaseExpiryBound, latestLeaseEnd(now, lease));
}

Common::millis worker_state::clockLag(Common::instant now) const
{
    if (!m_clock)
        return Common::millis(0);
    const auto age = static_cast<double>(Common::elapsed(m_clock->at, now).count());
    return Common::millis(static_cast<std::int64_t>(std::ceil(age * (maxClockSlowness - 1))));
}

worker_millis worker_state::grantLease(Common::instant now, Common::millis lease, const worker_bounds& bounds)
{
    // The deadline comes later, by as much as the clock has fallen behind the estimate since it was read.
    noteLease(now, std::min(lease + clockLag(now), bounds.longestLease));
    return { clockAt(now).value + lease.count() };
}

void worker_state::beginIncarnation(worker_entry registered)
{
    entry = std::move(registered);
    m_fullCapacity = entry.capacity;
    hasReported = false;
    hasListedAllEnds = false;
    isEndListCut = false;
    seenEnd = {};
    storedEnd = {};
    failuresInRow = 0;
    unansweredPolls = 0;
    failedAt.reset();
    probation.reset();
    lastStartJob = {};
    m_clock.reset();
    runs.clear();
    m_used = {};
    m_runsInPhase = {};
    m_longRunningRuns = 0;
    m_runsOfUnknownSize = 0;
    m_bestEffortRuns = 0;
    m_bestEffortProcessor = {};
}

Jobs::resources worker_state::free() const { return entry.capacity - m_used; }

Common::millicores worker_state::spareProcessor() const
{
    return free().processor - m_bestEffortProcessor;
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
    count(run, 1);
    return runs[name] = run;
}

void worker_state::removeRun(const Jobs::task_name& name)
{
    const auto found = runs.find(name);
    if (found == runs.end())
        return;
    m_used -= charge(found->second);
    count(found->second, -1);
    runs.erase(found);
}

bool worker_state::hasJustStartedOther(const Common::job_id& job, Common::millis time, Common::instant now) const
{
    return !lastStartJob.empty() && lastStartJob != job && now - lastStartAt < time;
}

void worker_state::count(const task_run& run, int change)
{
    m_runsInPhase[static_cast<std::size_t>(run.phase)] += change;
    m_runsOfUnknownSize += run.isSizeUnknown ? change : 0;
    m_longRunningRuns += run.isLongRunning || run.isBestEffort ? change : 0;
    if (!run.isBestEffort)
        return;
    m_bestEffortRuns += change;
    m_bestEffortProcessor.value += run.request.processor.value * change;
}

void worker_state::setPhase(task_run& run, run_phase phase)
{
    count(run, -1);
    run.phase = phase;
    count(run, 1);
}

}
