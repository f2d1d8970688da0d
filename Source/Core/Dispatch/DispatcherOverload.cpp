#include "Dispatch/Dispatcher.h"

/// The order of jobs while a pool is short.
namespace Dispatch {

namespace {

    Common::millicores usedByLongRunning(const worker_state& worker)
    {
        Common::millicores used;
        if (!worker.hasLongRunningRuns())
            return used;
        for (const auto& [name, run] : worker.runs) {
            if (run.isLongRunning && !run.isBestEffort)
                used += run.request.processor;
        }
        return used;
    }

}

overload_view dispatcher::overloadOf(const Common::pool_id& pool, Common::instant now) const
{
    overload_view view { .now = now };
    for (const auto* worker : workersOf(pool)) {
        // A worker that gets nothing new still does what it has.
        const bool isUsable = isSchedulable(*worker, now);
        view.capacity += isUsable ? worker->entry.capacity.processor : worker->used().processor;
        view.capacity -= usedByLongRunning(*worker);
        if (isUsable)
            view.free += worker->free().processor;
    }
    return view;
}

bool dispatcher::planOnTime(const Common::pool_id& pool, const pool_pass& pass, Common::wall_millis wall)
{
    if (m_overload.isDue(pool, m_rules, pass.now)) {
        auto view = overloadOf(pool, pass.now);
        view.wall = wall;
        const auto changes = m_overload.update(pool, pass.jobs, m_rules, view);
        for (const auto& job : changes.postponed)
            observe({ .kind = dispatch_event_kind::JobPostponed, .task = { .job = job.job }, .postponed = job });
        for (const auto& id : changes.resumed)
            observe({ .kind = dispatch_event_kind::JobResumed, .task = { .job = id } });
    }
    if (!m_overload.isShort(pool))
        return planJobs(pass.jobs.onTime(), pass);
    const auto sequence = m_overload.sequence(pool, pass.jobs);
    return planJobs(sequence.first, pass) && planJobs(sequence.postponed, pass);
}

}
