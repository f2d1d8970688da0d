#include "Dispatch/Dispatcher.h"

#include <algorithm>

/// Chooses tasks to start and their workers.
namespace Dispatch {

namespace {

    /// After our leadership was last confirmed, starts are still planned for this time; they are sent once logged.
    constexpr Common::millis planningGrace { 1500 };
    /// With more different requests than this, all waiting jobs are looked at even if nothing fits.
    constexpr std::size_t maxRequestsChecked = 64;
    /// At most one of this many workers of a pool is on probation at a time.
    constexpr std::size_t workersPerProbation = 3;
    /// A suspected job waits at most this long for a worker on which nothing else has just started.
    constexpr Common::millis maxProbationWait { 2000 };

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

bool dispatcher::mayGoOn(const open_job& job, Common::instant now) const
{
    // While the store is down, only jobs that the next leader will treat as started go on, since their placements
    // needn't be logged. A store that is merely slow still takes placements.
    const bool canBeLogged = now < m_confirmedUntil + planningGrace;
    return canBeLogged || (job.isLogged && job.addedAt <= m_jobCutoff);
}

void dispatcher::planStarts(const Common::pool_id& pool, Common::instant now, Common::wall_millis wall)
{
    m_observer.onPlanPart(plan_part::Ordering);
    const auto found = m_jobsOfPools.find(pool);
    if (found == m_jobsOfPools.end())
        return;
    auto& jobs = found->second;
    jobs.refresh(wall);
    if (jobs.onTime().empty() && jobs.late().empty())
        return;
    const int mayPlan = m_startLimits.plannedPerPool - plannedIn(pool);
    const int mayPlace = placementsLeft(pool);
    if (mayPlan <= 0 || mayPlace <= 0)
        return;
    m_observer.onPlanPart(plan_part::Placement);
    const auto schedulable = schedulableWorkers(pool, now);
    placement_index workers(schedulable);
    auto probations = probationsIn(pool, now);
    const pool_pass pass { .jobs = jobs,
        .workers = workers,
        .isReconciled = isPoolReconciled(pool, now),
        .now = now,
        .pendingLimitOfJobs = m_pendingStarts.size() + static_cast<std::size_t>(std::min(mayPlan, mayPlace)),
        .pendingLimit = m_pendingStarts.size() + static_cast<std::size_t>(mayPlace),
        .probations = probations,
        .maxProbations = std::max<std::size_t>(1, schedulable.size() / workersPerProbation) };
    // Jobs that can no longer meet their deadline are worth little, so they come after the others.
    if (hasRoom(pass) && planOnTime(pool, pass, wall))
        planJobs(jobs.late(), pass);
    m_lastPlan.workersExamined += workers.workersExamined();
}

int dispatcher::placementsLeft(const Common::pool_id& pool) const
{
    int inPool = 0;
    int inOthers = 0;
    for (const auto& [id, workers] : m_workersOfPools) {
        for (const auto* worker : workers)
            (id == pool ? inPool : inOthers) += static_cast<int>(worker->runs.size());
    }
    return (m_options.maxPlacedTasks - inOthers) / 2 - inPool;
}

bool dispatcher::hasRoom(const pool_pass& pass)
{
    const auto& requests = pass.jobs.readyRequests();
    return requests.size() > maxRequestsChecked
        || std::any_of(requests.begin(), requests.end(),
            [&pass](const auto& request) { return pass.workers.hasRoomFor(request.first); });
}

bool dispatcher::planJobs(const std::vector<open_job*>& jobs, const pool_pass& pass)
{
    for (auto* job : jobs) {
        if (m_pendingStarts.size() >= pass.pendingLimitOfJobs)
            return false;
        ++m_lastPlan.jobsExamined;
        if (Jobs::isFinal(job->state) || !mayGoOn(*job, pass.now))
            continue;
        if (!pass.isReconciled && !m_neverStarted.contains(job->record().id.value))
            continue;
        const int ruledOut = pass.workers.ruledOutCount();
        planJob(*job, pass);
        if (pass.workers.ruledOutCount() != ruledOut && !hasRoom(pass))
            return false;
    }
    return true;
}

void dispatcher::planJob(open_job& job, const pool_pass& pass)
{
    const auto& workers = pass.workers;
    const auto isRuledOut = [&job, &workers](const auto& ready) {
        return workers.isRuledOut(job.record().spec.steps[static_cast<std::size_t>(ready.step)]);
    };
    const auto& ready = job.summary().readySteps;
    if (std::all_of(ready.begin(), ready.end(), isRuledOut))
        return;
    // A copy, since the summary changes with each placement.
    const auto readySteps = ready;
    for (const auto& [occurrence, step] : readySteps) {
        const auto& spec = job.record().spec.steps[static_cast<std::size_t>(step)];
        if (workers.isRuledOut(spec))
            continue;
        if (spec.isGang)
            planGang(job, occurrence, step, pass.workers, pass.now);
        else
            planStep(job, occurrence, step, pass);
    }
}

placement_request dispatcher::requestFor(
    open_job& job, int occurrence, int step, std::map<Common::worker_id, int>& counts, Common::instant now)
{
    const auto& spec = job.record().spec.steps[static_cast<std::size_t>(step)];
    placement_request request { .step = &spec,
        .job = job.record().id,
        .isSuspect = job.isSuspect() && !isOverdue(job, now),
        .now = now,
        .onWorker = &counts,
        .excluded = workersOfNamesakes(job) };
    if (spec.maxPerWorker <= 0 && !spec.isRackSensitive)
        return request;
    for (const auto& [index, task] : job.occurrences().at(occurrence).steps[static_cast<std::size_t>(step)].tracked()) {
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
    // Another start waits until it is known whether the workers of earlier ones crashed.
    const auto possible = task.crashedRuns.size() + task.possibleCrashes.size() + task.unresolvedRuns.size();
    const bool mayReachLimit = !task.unresolvedRuns.empty() && possible >= maxStartCrashes;
    return task.phase == task_phase::Waiting && now >= task.notBefore && (!task.awaitsConfirmation || m_isConfirmed)
        && !mayReachLimit;
}

bool dispatcher::isOverdue(const open_job& job, Common::instant now)
{
    return job.waitsForProbationSince && now - *job.waitsForProbationSince >= maxProbationWait;
}

bool dispatcher::mayBeginProbation(const open_job& job, const pool_pass& pass)
{
    return pass.probations < pass.maxProbations && !job.hasProbation(pass.now);
}

std::set<Jobs::task_name> dispatcher::tasksBeingStopped(const Common::job_id& id) const
{
    std::set<Jobs::task_name> names;
    const auto found = m_runsOfJobs.find(id.value);
    if (found == m_runsOfJobs.end())
        return names;
    for (const auto& [workerId, count] : found->second) {
        const auto& worker = m_workers.at(workerId);
        if (!worker.hasRunsIn(run_phase::Stopping))
            continue;
        for (const auto& [name, run] : worker.runs) {
            if (name.job == id && run.phase == run_phase::Stopping)
                names.insert(name);
        }
    }
    return names;
}

bool dispatcher::mayUseForSuspect(const worker_state* worker, const open_job& job, const pool_pass& pass)
{
    const bool isOnProbation = worker && worker->isOnProbation(pass.now) && worker->probation->job == job.record().id;
    return isOnProbation || (worker && pass.probations < pass.maxProbations);
}

void dispatcher::reserveForProbation(const placement_request& request, open_job& job, const pool_pass& pass)
{
    auto* worker = pass.workers.chooseForProbation(request);
    if (!worker)
        return;
    job.waitsForProbationSince = job.waitsForProbationSince.value_or(pass.now);
    // The worker gets no other starts meanwhile, so the job can start there soon.
    if (mayBeginProbation(job, pass) && beginProbation(*worker, job, pass.now))
        ++pass.probations;
}

void dispatcher::planStep(open_job& job, int occurrence, int step, const pool_pass& pass)
{
    std::map<Common::worker_id, int> counts;
    auto request = requestFor(job, occurrence, step, counts, pass.now);
    const auto& tasks = job.occurrences().at(occurrence).steps[static_cast<std::size_t>(step)];
    const auto stopping = tasksBeingStopped(job.record().id);
    for (auto next = tasks.nextWaiting(0); next; next = tasks.nextWaiting(*next + 1)) {
        const auto name = taskAt(job.record(), occurrence, step, *next);
        const auto* known = tasks.find(*next);
        if ((known && !mayStart(*known, pass.now)) || stopping.contains(name))
            continue;
        if (m_pendingStarts.size() >= pass.pendingLimit)
            return;
        if (!m_usage.allows(m_rules, job.record().team, request.step->request))
            return;
        request.avoided = known ? known->failedOn : Common::worker_id();
        auto* worker = pass.workers.choose(request);
        if (request.isSuspect && !mayUseForSuspect(worker, job, pass)) {
            reserveForProbation(request, job, pass);
            return;
        }
        if (!worker)
            return;
        job.waitsForProbationSince.reset();
        ++counts[worker->entry.id];
        if (request.step->isRackSensitive && request.rack.empty())
            request.rack = worker->entry.rack;
        const run_number run { job.find(name)->lastRun.value + 1 };
        planStart(job, name, *worker, run, pass.now);
        if (request.isSuspect && beginProbation(*worker, job, pass.now))
            ++pass.probations;
        pass.workers.update(*worker);
    }
}

void dispatcher::planGang(open_job& job, int occurrence, int step, placement_index& workers, Common::instant now)
{
    const auto& tasks = job.occurrences().at(occurrence).steps[static_cast<std::size_t>(step)];
    const auto stopping = tasksBeingStopped(job.record().id);
    // All members have the same run number.
    run_number run = job.firstRun();
    for (int index = 0; index < tasks.count(); ++index) {
        const auto* known = tasks.find(index);
        const bool mayStartMember = known ? mayStart(*known, now) : !tasks.isTaskDone(index);
        if (!mayStartMember || stopping.contains(taskAt(job.record(), occurrence, step, index)))
            return;
        run = std::max(run, known ? known->lastRun : run);
    }
    ++run.value;
    std::map<Common::worker_id, int> counts;
    auto request = requestFor(job, occurrence, step, counts, now);
    const auto total = Jobs::times(request.step->request, tasks.count());
    if (!m_usage.allows(m_rules, job.record().team, total))
        return;
    // The placement is tried first, since a gang is started completely or not at all.
    std::vector<worker_state*> chosen;
    for (int index = 0; index < tasks.count(); ++index) {
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
    if (static_cast<int>(chosen.size()) < tasks.count())
        return;
    for (int index = 0; index < tasks.count(); ++index) {
        auto& worker = *chosen[static_cast<std::size_t>(index)];
        planStart(job, taskAt(job.record(), occurrence, step, index), worker, run, now);
        workers.update(worker);
    }
}

pool_demand dispatcher::demandOf(const Common::pool_id& pool, Common::wall_millis wall)
{
    const auto found = m_jobsOfPools.find(pool);
    if (found == m_jobsOfPools.end())
        return {};
    found->second.refresh(wall);
    return found->second.demand();
}

}
