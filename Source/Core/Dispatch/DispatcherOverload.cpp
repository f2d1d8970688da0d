#include "Dispatch/Dispatcher.h"

/// The order of jobs while a pool is short.
namespace Dispatch {

namespace {

    /// Of the workers' processors, what long-running tasks don't take, and what nothing uses.
    overload_view viewOf(const std::vector<worker_state*>& workers)
    {
        overload_view view;
        for (const auto* worker : workers) {
            view.capacity += worker->entry.capacity.processor;
            view.free += worker->free().processor;
            if (!worker->hasLongRunningRuns())
                continue;
            for (const auto& [name, run] : worker->runs) {
                if (run.isLongRunning && !run.isBestEffort)
                    view.capacity -= run.request.processor;
            }
        }
        return view;
    }

}

start_sequence dispatcher::sequenceJobs(const Common::pool_id& pool, const std::vector<worker_state*>& workers,
    Common::instant now, Common::wall_millis wall)
{
    const auto& jobs = m_jobsOfPools.at(pool);
    auto view = viewOf(workers);
    view.now = now;
    view.wall = wall;
    const auto changes = m_overload.update(pool, jobs, m_rules, view);
    for (const auto& job : changes.postponed)
        observe({ .kind = dispatch_event_kind::JobPostponed, .task = { .job = job.job }, .postponed = job });
    for (const auto& id : changes.resumed)
        observe({ .kind = dispatch_event_kind::JobResumed, .task = { .job = id } });
    return m_overload.sequence(pool, jobs);
}

}
