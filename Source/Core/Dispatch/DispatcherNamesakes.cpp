#include "Dispatch/Dispatcher.h"

/// Jobs with the same identifier of their callers. A worker knows a task by that identifier alone, so
/// - their runs have numbers of different lanes, and what a worker lists belongs to the job whose lane the number is of;
/// - a worker with a run of one of them gets none of another;
/// - a job whose number a worker refuses, since it has seen a higher one, goes on in a lane above all others.
/// The lanes of a job are stored with its progress, and so before the first start that uses them.
namespace Dispatch {

std::set<Common::worker_id> dispatcher::workersOfNamesakes(const open_job& job) const
{
    std::set<Common::worker_id> workers;
    for (const auto& other : m_namesakes.othersOf(job.record().id)) {
        const auto runs = m_runsOfJobs.find(other.value);
        if (runs == m_runsOfJobs.end())
            continue;
        for (const auto& [worker, count] : runs->second)
            workers.insert(worker);
    }
    return workers;
}

Jobs::task_name dispatcher::identify(const Jobs::task_name& listed, run_number run) const
{
    auto name = listed;
    if (const auto job = m_namesakes.find(Jobs::callerIdOf(listed.job), run.value))
        name.job = *job;
    return name;
}

poll_order_reply dispatcher::identifyAll(poll_order_reply reply) const
{
    for (auto& run : reply.running)
        run.task = identify(run.task, run.run);
    for (auto& end : reply.ended)
        end.task = identify(end.task, end.run);
    return reply;
}

void dispatcher::raiseLane(open_job& job)
{
    const auto lane = m_namesakes.raise(job.record().id);
    if (!lane)
        return;
    job.useLane(*lane);
    // Nothing starts in the lane before the log shows whose it is.
    job.isLogged = false;
    job.noteState();
    m_dirty.insert(job.record().id.value);
    observe({ .kind = dispatch_event_kind::LaneRaised,
        .task = { .job = job.record().id },
        .run = { Jobs::firstNumberOf(*lane) } });
}

void dispatcher::forgetNamesake(const Common::job_id& id)
{
    if (!m_jobs.contains(id.value) && !m_runsOfJobs.contains(id.value))
        m_namesakes.remove(id);
}

}
