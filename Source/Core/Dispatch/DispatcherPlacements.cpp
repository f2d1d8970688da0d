#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

/// A placement is logged before its start is sent, so that a later leader knows where a task may be running. The only
/// exceptions are jobs that the log shows as started, while the store doesn't answer.
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
        .isLongRunning = spec.isLongRunning,
        .isBestEffort = spec.isBestEffort,
        .startedAt = now,
        .progressedAt = now };
}

void dispatcher::planStart(
    open_job& job, const Jobs::task_name& name, worker_state& worker, run_number run, Common::instant now)
{
    auto planned = runOf(job, name, run, run_phase::Planned, now);
    planned.isSent = false;
    addRun(worker, name, planned);
    worker.lastStartAt = now;
    worker.lastStartJob = name.job;
    job.place(name, worker.incarnation(), run);
    m_dirty.insert(job.record().id.value);
    m_pendingStarts.push_back({ .task = name, .worker = worker.entry.id, .run = run });
}

int dispatcher::plannedIn(const Common::pool_id& pool) const
{
    return static_cast<int>(std::count_if(m_pendingStarts.begin(), m_pendingStarts.end(), [this, &pool](const auto& planned) {
        const auto worker = m_workers.find(planned.worker);
        return worker != m_workers.end() && worker->second.entry.pool == pool;
    }));
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
    return findPlanned(planned) && findJob(planned.task.job) && m_currentLease >= m_options.lease.minLease
        && isSchedulable(m_workers.at(planned.worker), now);
}

void dispatcher::sendStarts(Common::instant now, dispatch_orders& orders)
{
    const auto pending = std::exchange(m_pendingStarts, {});
    // A gang is started completely or not at all, so gangs with a member that can't start are found before any start
    // is sent.
    std::vector<Jobs::task_name> incompleteGangs;
    for (const auto& planned : pending) {
        const auto* job = findJob(planned.task.job);
        if (job && job->spec(planned.task).isGang && findPlanned(planned) && !maySend(planned, now))
            incompleteGangs.push_back(planned.task);
    }
    std::optional<Jobs::task_name> lastSent;
    for (const auto& planned : pending) {
        auto* run = findPlanned(planned);
        if (!run)
            continue;
        auto* job = findJob(planned.task.job);
        // The next leader has to know how many workers have crashed.
        const bool skipsLog = m_isDegraded && job && job->isLogged && !job->hasLosses();
        if (job && !run->isLogged && !skipsLog) {
            m_pendingStarts.push_back(planned);
            continue;
        }
        const bool isInIncompleteGang = std::any_of(incompleteGangs.begin(), incompleteGangs.end(),
            [&planned](const auto& member) { return isSameStep(member, planned.task); });
        auto& worker = m_workers.at(planned.worker);
        if (isInIncompleteGang || !maySend(planned, now)) {
            releaseRun(worker, planned.task, now);
            continue;
        }
        const bool completesGang = job->spec(planned.task).isGang && lastSent && isSameStep(*lastSent, planned.task);
        if (m_startLimits.room <= 0 && !completesGang) {
            m_pendingStarts.push_back(planned);
            continue;
        }
        --m_startLimits.room;
        lastSent = planned.task;
        sendStart(planned, now, orders);
    }
}

Common::millis dispatcher::startLease() const { return std::min(m_currentLease, m_options.lease.startLease); }

void dispatcher::sendStart(const placement& planned, Common::instant now, dispatch_orders& orders)
{
    auto& run = *findPlanned(planned);
    auto& job = *findJob(planned.task.job);
    auto& worker = m_workers.at(planned.worker);
    if (!run.isLogged)
        observe({ .kind = dispatch_event_kind::SentWithoutLog,
            .task = planned.task,
            .worker = planned.worker,
            .run = planned.run,
            .disputedFor = disputedFor(now) });
    worker.setPhase(run, run_phase::Starting);
    run.isSent = true;
    run.startedAt = now;
    run.progressedAt = now;
    orders.starts.push_back({ .worker = worker.recipient(),
        .task = planned.task,
        .run = planned.run,
        .payload = job.record().spec.payload,
        .checkpoint = job.find(planned.task)->checkpoint,
        .deadline = worker.grantLease(now, startLease(), m_options.bounds) });
}

void dispatcher::releaseUnsent(Common::instant now)
{
    for (auto& [id, worker] : m_workers) {
        if (!worker.hasRunsIn(run_phase::Stopping))
            continue;
        std::vector<Jobs::task_name> unsent;
        for (const auto& [name, run] : worker.runs) {
            if (run.phase == run_phase::Stopping && !run.isSent)
                unsent.push_back(name);
        }
        for (const auto& name : unsent)
            releaseRun(worker, name, now);
    }
}

void dispatcher::releaseOverCapacity(Common::instant now)
{
    for (auto planned = m_pendingStarts.rbegin(); planned != m_pendingStarts.rend(); ++planned) {
        if (findPlanned(*planned) && m_workers.at(planned->worker).isOverCapacity())
            releasePlanned(*planned, now);
    }
}

void dispatcher::releasePlanned(const placement& start, Common::instant now)
{
    const auto* job = findJob(start.task.job);
    const bool isGang = job && job->spec(start.task).isGang;
    for (const auto& planned : m_pendingStarts) {
        const bool isReleased = isGang ? isSameStep(planned.task, start.task) : planned.task == start.task;
        if (isReleased && findPlanned(planned))
            releaseRun(m_workers.at(planned.worker), planned.task, now);
    }
}

void dispatcher::markStored(const Jobs::job_progress& progress)
{
    if (Jobs::isFinal(progress.state)) {
        removeJob(progress.job);
        return;
    }
    if (auto* job = findJob(progress.job))
        job->isLogged = job->isLogged || Jobs::showsStart(progress);
    for (const auto& task : progress.tasks) {
        const Jobs::task_name name { progress.job, task.occurrence, task.step, task.index };
        if (auto* run = findRun({ .task = name, .worker = task.worker, .run = { task.run } }))
            run->isLogged = true;
    }
}

dispatch_backlog dispatcher::backlog(Common::instant now) const
{
    dispatch_backlog backlog { .startsWaiting = static_cast<int>(m_pendingStarts.size()) };
    for (const auto& [id, job] : m_jobs) {
        if (Jobs::isFinal(job->state))
            continue;
        for (const auto& [number, occurrence] : job->occurrences()) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& state = occurrence.steps[step];
                if (job->isReady(occurrence, static_cast<int>(step)))
                    backlog.tasksWaiting += state.waiting();
            }
        }
    }
    for (const auto& [id, worker] : m_workers) {
        if (!worker.runs.empty() && worker.hasReported)
            backlog.oldestReport = std::max(backlog.oldestReport, Common::elapsed(worker.reportedAt, now));
    }
    return backlog;
}

}
