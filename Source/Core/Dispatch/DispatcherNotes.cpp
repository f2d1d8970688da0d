#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

/// A placement stands in the log before its start is sent, so that a later holder knows where a task may run. The
/// only starts that the log may not know are those of begun jobs while the store doesn't answer.
namespace Dispatch {

namespace {

    bool isSameStep(const Jobs::task_name& left, const Jobs::task_name& right)
    {
        return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
    }

}

task_run dispatcher::runOf(
    const open_job& job, const Jobs::task_name& name, run_number run, run_phase phase, Common::instant now)
{
    const auto& spec = job.spec(name);
    return { .run = run,
        .phase = phase,
        .request = spec.request,
        .team = job.record().team,
        .isLasting = spec.isLasting,
        .isFiller = spec.isFiller,
        .startedAt = now,
        .progressedAt = now };
}

void dispatcher::planStart(
    open_job& job, const Jobs::task_name& name, worker_state& worker, run_number run, Common::instant now)
{
    auto planned = runOf(job, name, run, run_phase::Planned, now);
    planned.isSent = false;
    addRun(worker, name, planned);
    job.place(name, worker.entry.id, run);
    m_dirty.insert(job.record().id.value);
    m_planned.push_back({ .task = name, .worker = worker.entry.id, .run = run });
}

task_run* dispatcher::findRun(const placement& start)
{
    const auto worker = m_workers.find(start.worker);
    if (worker == m_workers.end())
        return nullptr;
    const auto run = worker->second.runs.find(start.task);
    const bool isThere = run != worker->second.runs.end() && run->second.run == start.run;
    return isThere ? &run->second : nullptr;
}

task_run* dispatcher::findPlanned(const placement& start)
{
    auto* run = findRun(start);
    return run && run->phase == run_phase::Planned ? run : nullptr;
}

bool dispatcher::maySend(const placement& planned, Common::instant now)
{
    return findPlanned(planned) && findJob(planned.task.job) && m_grant >= m_options.lease.leastGrant
        && isOpen(m_workers.at(planned.worker), now);
}

void dispatcher::sendStarts(Common::instant now, dispatch_orders& orders)
{
    const auto all = std::exchange(m_planned, {});
    // A gang starts whole or not at all: those with a member that can't start, before any of them is touched.
    std::vector<Jobs::task_name> brokenGangs;
    for (const auto& planned : all) {
        const auto* job = findJob(planned.task.job);
        if (job && job->spec(planned.task).isGang && findPlanned(planned) && !maySend(planned, now))
            brokenGangs.push_back(planned.task);
    }
    for (const auto& planned : all) {
        auto* run = findPlanned(planned);
        if (!run)
            continue;
        auto* job = findJob(planned.task.job);
        const bool goesUnnoted = m_isUnsure && job && job->isNoted;
        if (job && !run->isNoted && !goesUnnoted) {
            m_planned.push_back(planned);
            continue;
        }
        const bool isInBrokenGang = std::any_of(brokenGangs.begin(), brokenGangs.end(),
            [&planned](const auto& mate) { return isSameStep(mate, planned.task); });
        auto& worker = m_workers.at(planned.worker);
        if (isInBrokenGang || !maySend(planned, now)) {
            releaseRun(worker, planned.task, now);
            continue;
        }
        run->phase = run_phase::Starting;
        run->isSent = true;
        run->startedAt = now;
        run->progressedAt = now;
        orders.starts.push_back({ .worker = { worker.entry.id, worker.entry.address },
            .task = planned.task,
            .run = planned.run,
            .payload = job->record().spec.payload,
            .checkpoint = job->find(planned.task)->checkpoint,
            .deadline = worker.grant(now, m_grant) });
    }
}

void dispatcher::dropUnsent(Common::instant now)
{
    for (auto& [id, worker] : m_workers) {
        std::vector<Jobs::task_name> unsent;
        for (const auto& [name, run] : worker.runs) {
            if (run.phase == run_phase::Stopping && !run.isSent)
                unsent.push_back(name);
        }
        for (const auto& name : unsent)
            releaseRun(worker, name, now);
    }
}

void dispatcher::noteStored(const Jobs::job_progress& progress)
{
    if (Jobs::isFinal(progress.state)) {
        m_jobs.erase(progress.job.value);
        m_untouched.erase(progress.job.value);
        return;
    }
    if (auto* job = findJob(progress.job))
        job->isNoted = true;
    for (const auto& task : progress.tasks) {
        const Jobs::task_name name { progress.job, task.occurrence, task.step, task.index };
        if (auto* run = findRun({ .task = name, .worker = task.worker, .run = { task.run } }))
            run->isNoted = true;
    }
}

bool dispatcher::isFullyNoted(Common::instant now) const
{
    const bool isOpen = std::all_of(
        m_rules.pools.begin(), m_rules.pools.end(), [this, now](const auto& pool) { return isPoolOpen(pool.id, now); });
    const auto isNoted = [this](const auto& entry) {
        return entry.second.isNoted || !entry.second.isSent || !m_jobs.contains(entry.first.job.value);
    };
    return isOpen && std::all_of(m_workers.begin(), m_workers.end(), [&isNoted](const auto& worker) {
        return std::all_of(worker.second.runs.begin(), worker.second.runs.end(), isNoted);
    });
}

void dispatcher::inherit(open_job& job, const Jobs::task_progress& known, Common::instant now)
{
    const Jobs::task_name name { job.record().id, known.occurrence, known.step, known.index };
    if (!job.find(name))
        return;
    const auto* queue = queueOf(job);
    auto& worker = expectWorker(known.worker, queue ? queue->pool : Common::pool_id(), now);
    const run_number run { known.run };
    const bool isListed = worker.runs.contains(name);
    if (worker.isInventoried && !isListed)
        return;
    if (!isListed)
        addRun(worker, name, runOf(job, name, run, run_phase::Inherited, now)).isNoted = true;
    job.place(name, worker.entry.id, run);
}

}
