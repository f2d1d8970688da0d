#include "Dispatch/Dispatcher.h"

#include <algorithm>

/// Chooses tasks to start and their workers.
namespace Dispatch {

namespace {

    /// After our leadership was last confirmed, starts are still planned for this time; they are sent once logged.
    constexpr Common::millis planningGrace { 1500 };
    /// Tasks are assumed to take at least this share of their estimates.
    constexpr double minShareOfEstimate = 0.2;

}

std::vector<worker_state*> dispatcher::schedulableWorkers(const Common::pool_id& pool, Common::instant now) const
{
    std::vector<worker_state*> schedulable;
    for (auto* worker : workersOf(pool)) {
        if (isSchedulable(*worker, now))
            schedulable.push_back(worker);
    }
    return schedulable;
}

bool dispatcher::isTooLate(open_job& job, Common::wall_millis wall)
{
    if (job.hasLongRunningTasks())
        return false;
    const auto least = static_cast<double>(job.summary().remainingPath.count()) * minShareOfEstimate;
    return wall.value + static_cast<std::int64_t>(least) > job.dueAt.value;
}

bool dispatcher::mayGoOn(const open_job& job, Common::instant now) const
{
    // While the store is down, only jobs that the next leader will treat as started go on, since their placements
    // needn't be logged. A store that is merely slow still takes placements.
    const bool canBeLogged = now < m_confirmedUntil + planningGrace;
    return canBeLogged || (job.isLogged && job.addedAt <= m_jobCutoff);
}

std::vector<open_job*> dispatcher::startableJobs(
    const Common::pool_id& pool, Common::instant now, Common::wall_millis wall)
{
    const auto found = m_jobsOfPools.find(pool);
    if (found == m_jobsOfPools.end())
        return {};
    std::optional<bool> isReconciled;
    std::vector<open_job*> jobs;
    // Jobs that can no longer meet their deadline are worth little, so they come after the others.
    std::vector<open_job*> late;
    m_lastPlan.jobsExamined += static_cast<std::int64_t>(found->second.jobs().size());
    for (auto* job : found->second.jobs()) {
        if (Jobs::isFinal(job->state) || !job->summary().hasReadyTasks || !mayGoOn(*job, now))
            continue;
        if (!isReconciled)
            isReconciled = isPoolReconciled(pool, now);
        if (*isReconciled || m_neverStarted.contains(job->record().id.value))
            (isTooLate(*job, wall) ? late : jobs).push_back(job);
    }
    jobs.insert(jobs.end(), late.begin(), late.end());
    return jobs;
}

void dispatcher::planStarts(const Common::pool_id& pool, Common::instant now, Common::wall_millis wall)
{
    m_observer.onPlanPart(plan_part::Ordering);
    const auto jobs = startableJobs(pool, now, wall);
    if (jobs.empty())
        return;
    m_observer.onPlanPart(plan_part::Placement);
    placement_index workers(schedulableWorkers(pool, now));
    for (auto* job : jobs)
        planJob(*job, workers, now);
    m_lastPlan.workersExamined += workers.workersExamined();
}

void dispatcher::planJob(open_job& job, placement_index& workers, Common::instant now)
{
    for (auto& [number, occurrence] : job.occurrences()) {
        for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
            const auto& state = occurrence.steps[static_cast<std::size_t>(step)];
            const auto& spec = job.record().spec.steps[static_cast<std::size_t>(step)];
            const auto open = static_cast<int>(state.tasks.size()) - state.done - state.placed;
            if (open <= 0 || !job.isReady(occurrence, step) || workers.isRuledOut(spec))
                continue;
            if (spec.isGang)
                planGang(job, number, step, workers, now);
            else
                planStep(job, number, step, workers, now);
        }
    }
}

placement_request dispatcher::requestFor(
    open_job& job, int occurrence, int step, std::map<Common::worker_id, int>& counts)
{
    const auto& spec = job.record().spec.steps[static_cast<std::size_t>(step)];
    placement_request request { .step = &spec, .onWorker = &counts };
    if (spec.maxPerWorker <= 0 && !spec.isRackSensitive)
        return request;
    for (const auto& task : job.occurrences()[occurrence].steps[static_cast<std::size_t>(step)].tasks) {
        if (task.phase != task_phase::Placed)
            continue;
        ++counts[task.worker];
        const auto worker = m_workers.find(task.worker);
        if (spec.isRackSensitive && worker != m_workers.end())
            request.rack = worker->second.entry.rack;
    }
    return request;
}

bool dispatcher::mayStart(const task_state& task, Common::instant now) const
{
    return task.phase == task_phase::Waiting && now >= task.notBefore && (!task.awaitsConfirmation || m_isConfirmed);
}

void dispatcher::planStep(open_job& job, int occurrence, int step, placement_index& workers, Common::instant now)
{
    std::map<Common::worker_id, int> counts;
    auto request = requestFor(job, occurrence, step, counts);
    auto& tasks = job.occurrences()[occurrence].steps[static_cast<std::size_t>(step)].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (!mayStart(task, now))
            continue;
        if (!m_usage.allows(m_rules, job.record().team, request.step->request))
            return;
        request.avoided = task.failedOn;
        auto* worker = workers.choose(request);
        if (!worker)
            return;
        ++counts[worker->entry.id];
        if (request.step->isRackSensitive && request.rack.empty())
            request.rack = worker->entry.rack;
        const run_number run { task.lastRun.value + 1 };
        planStart(job, taskAt(job.record(), occurrence, step, index), *worker, run, now);
        workers.update(*worker);
    }
}

void dispatcher::planGang(open_job& job, int occurrence, int step, placement_index& workers, Common::instant now)
{
    auto& tasks = job.occurrences()[occurrence].steps[static_cast<std::size_t>(step)].tasks;
    run_number run;
    for (const auto& task : tasks) {
        if (!mayStart(task, now))
            return;
        run = std::max(run, task.lastRun);
    }
    ++run.value;
    std::map<Common::worker_id, int> counts;
    auto request = requestFor(job, occurrence, step, counts);
    const auto total = Jobs::times(request.step->request, static_cast<std::int64_t>(tasks.size()));
    if (!m_usage.allows(m_rules, job.record().team, total))
        return;
    // The placement is tried first, since a gang is started completely or not at all.
    std::vector<worker_state*> chosen;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto* worker = workers.choose(request);
        if (!worker)
            break;
        workers.tryRun(*worker, taskAt(job.record(), occurrence, step, index), { .request = request.step->request });
        ++counts[worker->entry.id];
        if (request.step->isRackSensitive && request.rack.empty())
            request.rack = worker->entry.rack;
        chosen.push_back(worker);
    }
    workers.endTrial();
    if (chosen.size() < tasks.size())
        return;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        planStart(job, taskAt(job.record(), occurrence, step, index), *chosen[index], run, now);
        workers.update(*chosen[index]);
    }
}

pool_demand dispatcher::demandOf(const Common::pool_id& pool, Common::wall_millis wall) const
{
    pool_demand demand;
    const auto found = m_jobsOfPools.find(pool);
    if (found == m_jobsOfPools.end())
        return demand;
    for (auto* job : found->second.jobs()) {
        if (Jobs::isFinal(job->state))
            continue;
        const auto& summary = job->summary();
        const bool isLate = isTooLate(*job, wall);
        (isLate ? demand.late : demand.waiting) += summary.waiting;
        (isLate ? demand.late : demand.blocked) += summary.blocked;
        (isLate ? demand.late : demand.running) += summary.placed;
    }
    return demand;
}

}
