#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

namespace {

    /// After our leadership was last confirmed, starts are still planned for this time; they are sent once logged.
    constexpr Common::millis planningGrace { 1500 };
    /// Tasks are assumed to take at least this share of their estimates.
    constexpr double minShareOfEstimate = 0.2;
    /// A worker is in the list of instances at the latest this long after it registered.
    constexpr Common::millis registrationLag { 2000 };
    /// The same by wall clocks, which may differ by some seconds between machines.
    constexpr Common::millis registrationLagWall { 6000 };

}

dispatcher::dispatcher(const dispatcher_options& options, Common::instant now, dispatch_observer& observer)
    : m_options(options)
    , m_takenOverAt(now)
    , m_observer(observer)
    , m_currentLease(options.lease.lease)
{
}

void dispatcher::setRules(const Rules::fleet_rules& rules) { m_rules = rules; }

void dispatcher::setEvacuated(std::set<Common::data_centre_id> zones) { m_evacuated = std::move(zones); }

void dispatcher::workerRegistered(const worker_entry& entry, Common::instant seenAt, Common::instant now)
{
    const auto found = m_workers.find(entry.id);
    if (found == m_workers.end()) {
        auto& worker = m_workers.emplace(entry.id, worker_state(entry)).first->second;
        worker.firstSeenAt = seenAt;
        // An earlier leader may have renewed leases there until now.
        worker.grantLease(now, m_options.lease.maxLease);
        return;
    }
    auto& worker = found->second;
    worker.isRegistered = true;
    const bool isUnregistered = worker.entry.incarnationStartedAt == Common::wall_millis();
    if (!isUnregistered && worker.entry.incarnationStartedAt < entry.incarnationStartedAt) {
        loseAllRuns(worker, now);
        worker.beginIncarnation(entry);
        return;
    }
    if (isUnregistered || worker.entry.incarnationStartedAt == entry.incarnationStartedAt)
        worker.entry = entry;
}

void dispatcher::workerUnregistered(const Common::worker_id& id)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end())
        found->second.isRegistered = false;
}

void dispatcher::setInstanceWorkers(const std::map<Common::worker_id, Common::pool_id>& instanceWorkers,
    Common::instant began, Common::instant now, Common::wall_millis wall)
{
    for (const auto& [id, pool] : instanceWorkers) {
        if (!m_areWorkersKnown)
            expectWorker(id, pool, now);
    }
    m_areWorkersKnown = true;
    for (auto& [id, worker] : m_workers) {
        const bool isUnresponsive = worker.unansweredPolls > 0 || !worker.isRegistered;
        const bool isOld = began > worker.firstSeenAt + registrationLag
            || wall.value - worker.entry.incarnationStartedAt.value > registrationLagWall.count();
        if (isUnresponsive && !instanceWorkers.contains(id) && isOld)
            worker.leaseExpiryBound = std::min(worker.leaseExpiryBound, now);
    }
}

worker_state& dispatcher::expectWorker(
    const Common::worker_id& id, const Common::pool_id& pool, Common::instant now)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end())
        return found->second;
    auto& worker = m_workers.emplace(id, worker_state({ .id = id, .pool = pool })).first->second;
    worker.isRegistered = false;
    worker.firstSeenAt = now;
    worker.grantLease(now, m_options.lease.maxLease);
    return worker;
}

bool dispatcher::isCordoned(const Common::worker_id& id) const
{
    const auto found = m_workers.find(id);
    return found != m_workers.end() && found->second.isCordoned;
}

void dispatcher::setCordoned(const Common::worker_id& id, bool isCordoned)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end())
        found->second.isCordoned = isCordoned;
}

void dispatcher::addJob(const Jobs::job_record& record, const Jobs::job_progress& progress, Common::instant now)
{
    if (m_jobs.contains(record.id.value) || Jobs::isFinal(progress.state))
        return;
    auto job = std::make_unique<open_job>(record, progress, m_options.runBase);
    const auto* queue = m_rules.findQueue(record.queue);
    const double stretch = queue ? queue->stretch : 1;
    const auto latency = queue ? queue->latencyTarget : Common::millis(0);
    const auto pathLength = static_cast<double>(criticalPath(record.spec).count());
    job->dueAt.value = record.acceptedAt.value + static_cast<std::int64_t>(stretch * pathLength) + latency.count();
    job->addedAt = now;
    if (!job->isLogged)
        m_neverStarted.insert(record.id.value);
    for (const auto& known : progress.tasks) {
        if (!known.isDone && !known.worker.empty())
            inherit(*job, known, now);
    }
    m_jobs.emplace(record.id.value, std::move(job));
}

void dispatcher::cancelJob(const Common::job_id& id)
{
    if (auto* job = findJob(id))
        conclude(*job, Jobs::job_state::Cancelled);
}

open_job* dispatcher::findJob(const Common::job_id& id)
{
    const auto found = m_jobs.find(id.value);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const Rules::queue_rule* dispatcher::queueOf(const open_job& job) const
{
    return m_rules.findQueue(job.record().queue);
}

bool dispatcher::isPoolReconciled(const Common::pool_id& pool, Common::instant now) const
{
    if (m_isLogComplete)
        return true;
    if (!m_areWorkersKnown && now < m_takenOverAt + m_options.instanceListTimeout)
        return false;
    return std::all_of(m_workers.begin(), m_workers.end(), [&pool, now](const auto& entry) {
        const auto& worker = entry.second;
        return worker.entry.pool != pool || worker.hasReported || now >= worker.leaseExpiryBound;
    });
}

bool dispatcher::isSchedulable(const worker_state& worker, Common::instant now) const
{
    return worker.isRegistered && !worker.entry.isDraining && worker.hasReported && worker.knowsClock()
        && !worker.isCordoned && now >= worker.suspectedUntil && !m_evacuated.contains(worker.entry.dataCentre);
}

std::vector<worker_state*> dispatcher::schedulableWorkers(const Common::pool_id& pool, Common::instant now)
{
    std::vector<worker_state*> schedulable;
    for (auto& [id, worker] : m_workers) {
        if (worker.entry.pool == pool && isSchedulable(worker, now))
            schedulable.push_back(&worker);
    }
    return schedulable;
}

bool dispatcher::isTooLate(const open_job& job, Common::wall_millis wall)
{
    if (job.hasLongRunningTasks())
        return false;
    const auto least = static_cast<double>(job.remainingCriticalPath().count()) * minShareOfEstimate;
    return wall.value + static_cast<std::int64_t>(least) > job.dueAt.value;
}

std::vector<open_job*> dispatcher::jobsInOrder(
    const Common::pool_id& pool, Common::instant now, Common::wall_millis wall)
{
    const bool isReconciled = isPoolReconciled(pool, now);
    std::vector<open_job*> jobs;
    for (const auto& [id, job] : m_jobs) {
        const auto* queue = queueOf(*job);
        if (!queue || queue->pool != pool || Jobs::isFinal(job->state))
            continue;
        // While the store is down, only jobs that the next leader will treat as started go on, since their placements
        // needn't be logged. A store that is merely slow still takes placements.
        const bool canBeLogged = now < m_confirmedUntil + planningGrace;
        const bool mayGoOn = canBeLogged || (job->isLogged && job->addedAt <= m_jobCutoff);
        if (mayGoOn && (isReconciled || m_neverStarted.contains(id)))
            jobs.push_back(job.get());
    }
    // Jobs that can no longer meet their deadline are worth little, so they come after the others.
    using rank = std::tuple<bool, bool, int, Common::wall_millis, Common::job_id>;
    std::vector<std::pair<rank, open_job*>> ranked;
    for (auto* job : jobs) {
        const bool isLongRunning = job->hasLongRunningTasks();
        ranked.push_back({ { !isLongRunning, isTooLate(*job, wall), queueOf(*job)->priority, job->dueAt,
                               job->record().id },
            job });
    }
    std::sort(ranked.begin(), ranked.end());
    std::transform(ranked.begin(), ranked.end(), jobs.begin(), [](const auto& entry) { return entry.second; });
    return jobs;
}

dispatch_orders dispatcher::plan(Common::instant now, Common::wall_millis wall, const leadership_status& status)
{
    dispatch_orders orders;
    if (m_isFenced)
        return orders;
    updateCurrentLease(now, status);
    expireLeases(now, status);
    releaseUnsent(now);
    for (const auto& [id, job] : m_jobs)
        job->openDue(wall);
    planStops(now, orders);
    for (const auto& pool : m_rules.pools) {
        if (m_currentLease >= m_options.lease.minLease)
            planStarts(pool.id, now, wall);
    }
    sendStarts(now, orders);
    planPolls(now, orders);
    planPaces(orders);
    return orders;
}

void dispatcher::planStarts(const Common::pool_id& pool, Common::instant now, Common::wall_millis wall)
{
    const auto workers = schedulableWorkers(pool, now);
    const int planned = plannedIn(pool);
    if (workers.empty() || planned >= m_startLimits.plannedPerPool)
        return;
    const auto limit = m_pendingStarts.size() + static_cast<std::size_t>(m_startLimits.plannedPerPool - planned);
    for (auto* job : jobsInOrder(pool, now, wall)) {
        if (m_pendingStarts.size() >= limit)
            return;
        for (auto& [number, occurrence] : job->occurrences()) {
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                const auto& state = occurrence.steps[static_cast<std::size_t>(step)];
                const auto open = static_cast<int>(state.tasks.size()) - state.done - state.placed;
                if (open <= 0 || !job->isReady(occurrence, step))
                    continue;
                if (job->record().spec.steps[static_cast<std::size_t>(step)].isGang)
                    planGang(*job, number, step, workers, now);
                else
                    planStep(*job, number, step, workers, now);
            }
        }
    }
}

placement_request dispatcher::requestFor(
    open_job& job, int occurrence, int step, std::map<Common::worker_id, int>& counts)
{
    const auto& spec = job.record().spec.steps[static_cast<std::size_t>(step)];
    placement_request request { .step = &spec, .onWorker = &counts };
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

void dispatcher::planStep(
    open_job& job, int occurrence, int step, const std::vector<worker_state*>& workers, Common::instant now)
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
        auto* worker = chooseWorker(workers, request);
        if (!worker)
            return;
        ++counts[worker->entry.id];
        if (request.step->isRackSensitive && request.rack.empty())
            request.rack = worker->entry.rack;
        const run_number run { task.lastRun.value + 1 };
        planStart(job, taskAt(job.record(), occurrence, step, index), *worker, run, now);
    }
}

void dispatcher::planGang(
    open_job& job, int occurrence, int step, const std::vector<worker_state*>& workers, Common::instant now)
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
    // The placement is tried on copies, since a gang is started completely or not at all.
    std::vector<worker_state> copies;
    copies.reserve(workers.size());
    std::vector<worker_state*> trial;
    for (const auto* worker : workers)
        trial.push_back(&copies.emplace_back(*worker));
    std::vector<Common::worker_id> chosen;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto* worker = chooseWorker(trial, request);
        if (!worker)
            return;
        worker->addRun(taskAt(job.record(), occurrence, step, index), { .request = request.step->request });
        ++counts[worker->entry.id];
        if (request.step->isRackSensitive && request.rack.empty())
            request.rack = worker->entry.rack;
        chosen.push_back(worker->entry.id);
    }
    for (std::size_t index = 0; index < tasks.size(); ++index)
        planStart(job, taskAt(job.record(), occurrence, step, index), m_workers.at(chosen[index]), run, now);
}

pool_demand dispatcher::demandOf(const Common::pool_id& pool, Common::wall_millis wall) const
{
    pool_demand demand;
    for (const auto& [id, job] : m_jobs) {
        const auto* queue = queueOf(*job);
        if (!queue || queue->pool != pool || Jobs::isFinal(job->state))
            continue;
        const bool isLate = isTooLate(*job, wall);
        for (auto& [number, occurrence] : job->occurrences()) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& state = occurrence.steps[step];
                const auto& spec = job->record().spec.steps[step];
                if (spec.isBestEffort)
                    continue;
                const auto open = static_cast<std::int64_t>(state.tasks.size()) - state.done - state.placed;
                auto& part = job->isReady(occurrence, static_cast<int>(step)) ? demand.waiting : demand.blocked;
                (isLate ? demand.late : part) += Jobs::times(spec.request, open);
                (isLate ? demand.late : demand.running) += Jobs::times(spec.request, state.placed);
            }
        }
    }
    return demand;
}

commit_batch dispatcher::takeCommit()
{
    commit_batch batch;
    for (const auto& id : m_dirty) {
        if (auto* job = findJob({ id }))
            batch.progress.push_back(job->progress());
    }
    m_dirty.clear();
    batch.coveredEnds = std::move(m_uncommittedEnds);
    m_uncommittedEnds.clear();
    return batch;
}

void dispatcher::onCommitted(const commit_batch& batch, Common::instant now)
{
    for (const auto& progress : batch.progress)
        markStored(progress);
    for (const auto& [id, end] : batch.coveredEnds) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            continue;
        // A number beyond the last reported end belongs to an earlier incarnation.
        if (end <= found->second.seenEnd)
            found->second.storedEnd = std::max(found->second.storedEnd, end);
        found->second.nextPollAt = now;
    }
}

void dispatcher::observe(const dispatch_event& event) { m_observer.observe(event); }

}
