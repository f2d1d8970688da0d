#include "Dispatch/Dispatcher.h"

#include <algorithm>

namespace Dispatch {

namespace {

    bool hasLowerId(const worker_state* left, const worker_state* right) { return left->entry.id < right->entry.id; }

}

dispatcher::dispatcher(const dispatcher_options& options, Common::instant now, dispatch_observer& observer)
    : m_options(options)
    , m_earlierLeasesEnd(latestLeaseEnd(now, options.lease.maxLease))
    , m_observer(observer)
    , m_currentLease(options.lease.lease)
{
}

void dispatcher::setRules(const Rules::fleet_rules& rules)
{
    m_rules = rules;
    m_jobsOfPools.clear();
    for (const auto& [id, job] : m_jobs)
        indexJob(*job);
}

void dispatcher::setEvacuated(std::set<Common::data_centre_id> zones) { m_evacuated = std::move(zones); }

void dispatcher::workerRegistered(const worker_entry& entry, Common::instant seenAt, Common::instant now)
{
    addressTaken(entry);
    const auto found = m_workers.find(entry.id);
    if (found == m_workers.end()) {
        auto& worker = m_workers.emplace(entry.id, worker_state(entry)).first->second;
        worker.firstSeenAt = seenAt;
        worker.incarnationKnownSince = now;
        // An earlier leader may have renewed leases there until now.
        worker.noteLease(now, m_options.lease.maxLease);
        indexWorker(worker);
        return;
    }
    auto& worker = found->second;
    unindexWorker(worker);
    updateRegistration(worker, entry, now);
    indexWorker(worker);
}

void dispatcher::updateRegistration(worker_state& worker, const worker_entry& entry, Common::instant now)
{
    const bool isUnregistered = worker.entry.incarnationStartedAt == Common::wall_millis();
    // Kind and capacity of an earlier incarnation say nothing about the present one.
    if (!isUnregistered && entry.incarnationStartedAt < worker.entry.incarnationStartedAt)
        return;
    worker.isRegistered = true;
    if (isUnregistered)
        worker.incarnationKnownSince = now;
    if (isUnregistered || worker.entry.incarnationStartedAt == entry.incarnationStartedAt) {
        worker.updateEntry(entry);
        return;
    }
    discardIncarnation(worker, entry, now);
}

void dispatcher::workerUnregistered(const Common::worker_id& id)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end())
        found->second.isRegistered = false;
}

bool dispatcher::isCordoned(const Common::worker_id& id) const
{
    const auto found = m_workers.find(id);
    return found != m_workers.end() && found->second.isCordoned;
}

void dispatcher::setCordoned(const Common::worker_id& id, bool isCordoned)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    // What is planned for a worker that has already failed doesn't explain its end.
    worker.isEndPlanned = isCordoned && (worker.isEndPlanned || !worker.failedAt);
    worker.isCordoned = isCordoned;
}

void dispatcher::addJob(
    const Jobs::job_record& record, const Jobs::job_progress& known, Common::instant now, int highestTakenLane)
{
    if (m_jobs.contains(record.id.value) || Jobs::isFinal(known.state))
        return;
    auto progress = known;
    progress.lanes = m_namesakes.add(record.id, progress.lanes, highestTakenLane);
    auto job = std::make_unique<open_job>(record, progress, m_options.runBase);
    const auto* queue = m_rules.findQueue(record.queue);
    const double stretch = queue ? queue->stretch : 1;
    const auto latency = queue ? queue->latencyTarget : Common::millis(0);
    const auto pathLength = static_cast<double>(criticalPath(record.spec).count());
    job->dueAt.value = record.acceptedAt.value + static_cast<std::int64_t>(stretch * pathLength) + latency.count();
    job->addedAt = now;
    if (!job->isLogged)
        m_neverStarted.insert(record.id.value);
    inheritAll(*job, progress, now);
    if (record.spec.repetitions > 0)
        m_repeatedJobs.insert(job.get());
    indexJob(*job);
    m_jobs.emplace(record.id.value, std::move(job));
}

void dispatcher::addProgress(const Jobs::job_progress& progress, Common::instant now)
{
    auto* job = findJob(progress.job);
    if (!job)
        return;
    job->restore(progress);
    if (job->isLogged)
        m_neverStarted.erase(progress.job.value);
    inheritAll(*job, progress, now);
}

void dispatcher::inheritAll(open_job& job, const Jobs::job_progress& progress, Common::instant now)
{
    for (const auto& task : progress.tasks) {
        if (!task.isDone && !task.worker.empty())
            inherit(job, task, now);
    }
}

void dispatcher::indexJob(open_job& job)
{
    const auto* queue = queueOf(job);
    if (!queue)
        return;
    job.priority = queue->priority;
    m_jobsOfPools[queue->pool].insert(job);
}

void dispatcher::removeJob(const Common::job_id& id)
{
    auto* job = findJob(id);
    if (!job)
        return;
    if (const auto* queue = queueOf(*job))
        m_jobsOfPools[queue->pool].erase(*job);
    m_repeatedJobs.erase(job);
    m_neverStarted.erase(id.value);
    m_jobs.erase(id.value);
    forgetNamesake(id);
}

void dispatcher::indexWorker(worker_state& worker)
{
    auto& workers = m_workersOfPools[worker.entry.pool];
    workers.insert(std::lower_bound(workers.begin(), workers.end(), &worker, hasLowerId), &worker);
}

void dispatcher::unindexWorker(worker_state& worker) { std::erase(m_workersOfPools[worker.entry.pool], &worker); }

const std::vector<worker_state*>& dispatcher::workersOf(const Common::pool_id& pool) const
{
    static const std::vector<worker_state*> none;
    const auto found = m_workersOfPools.find(pool);
    return found == m_workersOfPools.end() ? none : found->second;
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

const Jobs::job_record* dispatcher::recordOf(const Common::job_id& id) const
{
    const auto found = m_jobs.find(id.value);
    return found == m_jobs.end() ? nullptr : &found->second->record();
}

const Rules::queue_rule* dispatcher::queueOf(const open_job& job) const
{
    return m_rules.findQueue(job.record().queue);
}

bool dispatcher::isSchedulable(const worker_state& worker, Common::instant now) const
{
    return worker.isRegistered && !worker.entry.isDraining && worker.hasReported && worker.knowsClock()
        && !worker.isCordoned && !worker.failedAt && !worker.hasRunsOfUnknownSize() && now >= worker.suspectedUntil
        && !m_evacuated.contains(worker.entry.dataCentre) && predatesDispute(worker)
        && longestGrant(worker, now) >= startLease();
}

dispatch_orders dispatcher::plan(Common::instant now, Common::wall_millis wall, const leadership_status& status)
{
    dispatch_orders orders;
    if (m_isFenced)
        return orders;
    m_lastPlan = {};
    m_observer.onPlanPart(plan_part::Upkeep);
    updateCurrentLease(now, status);
    noteReconciliations(now);
    expireLeases(now, status);
    releaseUnsent(now);
    releaseOverCapacity(now);
    for (auto* job : m_repeatedJobs)
        job->openDue(wall);
    m_observer.onPlanPart(plan_part::Stops);
    planStops(now, orders);
    for (const auto& pool : m_rules.pools) {
        if (m_currentLease >= m_options.lease.minLease)
            planStarts(pool.id, now, wall);
    }
    m_observer.onPlanPart(plan_part::Sending);
    sendStarts(now, orders);
    m_observer.onPlanPart(plan_part::Polls);
    planPolls(now, orders);
    m_observer.onPlanPart(plan_part::Paces);
    planPaces(orders);
    m_observer.onPlanPart(plan_part::End);
    return orders;
}

commit_batch dispatcher::takeCommit()
{
    commit_batch batch;
    for (const auto& id : m_dirty) {
        auto* job = findJob({ id });
        if (!job)
            continue;
        for (auto& part : job->takeProgress()) {
            // The batch may be stored even if that isn't answered.
            job->isLogged = job->isLogged && Jobs::showsStart(part);
            batch.progress.push_back(std::move(part));
        }
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
    for (const auto& [id, ends] : batch.coveredEnds) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            continue;
        if (ends.incarnationStartedAt == found->second.entry.incarnationStartedAt)
            found->second.storedEnd = std::max(found->second.storedEnd, ends.last);
        found->second.nextPollAt = now;
    }
}

void dispatcher::observe(const dispatch_event& event) { m_observer.observe(event); }

}
