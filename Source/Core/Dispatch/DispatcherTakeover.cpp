#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

/// Finds out what earlier leaders' orders may still be running. Until then, the tasks that they may have started wait. Nothing
/// that an earlier leader ordered runs unnoticed on a worker
/// - once the worker has listed all its ends under this leader's token, or
/// - once all leases that an earlier leader may have granted there have expired, or the list of instances shows that the worker
///   has ended. This holds as of the last instant at which no other leader can have taken over. After it, a later leader may
///   have renewed the leases, and have read, stored and acknowledged the ends.
/// Workers that aren't registered may run tasks too. They are known once a list of instances was read after the takeover; without
/// one, until all leases of earlier leaders have expired.
/// While another leader may have taken over, only incarnations count that were known before: they would refuse this leader's
/// orders if a later one had reached them. One that began since has forgotten that, and what its worker ran and listed before.
/// It vouches for nothing and gets no starts, since the later leader may not know that it has to wait for it.
namespace Dispatch {

namespace {

    /// A worker is in the list of instances at the latest this long after it registered.
    constexpr Common::millis registrationLag { 2000 };
    /// The same by wall clocks, which may differ by some seconds between machines.
    constexpr Common::millis registrationLagWall { 6000 };

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
    worker.incarnationKnownSince = now;
    worker.noteLease(now, m_options.lease.maxLease);
    indexWorker(worker);
    return worker;
}

void dispatcher::inherit(open_job& job, const Jobs::task_progress& known, Common::instant now)
{
    const Jobs::task_name name { job.record().id, known.occurrence, known.step, known.index };
    if (const auto* task = job.find(name); !task || task->phase == task_phase::Done)
        return;
    const auto* queue = queueOf(job);
    auto& worker = expectWorker(known.worker, queue ? queue->pool : Common::pool_id(), now);
    const run_number run { known.run };
    const bool isListed = worker.runs.contains(name);
    if (worker.hasListedAllEnds && !isListed)
        return;
    if (!isListed)
        addRun(worker, name, runOf(job, name, run, run_phase::Inherited, now)).isLogged = true;
    job.place(name, { .worker = worker.entry.id, .startedAt = known.incarnation }, run);
}

Common::instant dispatcher::undisputedUntil(Common::instant now) const { return std::min(now, m_confirmedUntil); }

bool dispatcher::predatesDispute(const worker_state& worker) const
{
    return worker.incarnationKnownSince <= m_confirmedUntil;
}

bool dispatcher::areWorkersKnown(Common::instant now) const
{
    return m_areWorkersKnown || undisputedUntil(now) >= m_earlierLeasesEnd;
}

bool dispatcher::isReconciled(const worker_state& worker, Common::instant now) const
{
    return (worker.hasListedAllEnds && predatesDispute(worker)) || undisputedUntil(now) >= worker.leaseExpiryBound;
}

std::optional<Common::millis> dispatcher::disputedFor(Common::instant now) const
{
    return m_isConfirmed ? std::nullopt : std::optional(Common::elapsed(m_confirmedUntil, now));
}

void dispatcher::noteReconciliations(Common::instant now)
{
    for (auto& [id, worker] : m_workers) {
        const bool isNowReconciled = isReconciled(worker, now);
        if (std::exchange(worker.isNotedAsReconciled, isNowReconciled) == isNowReconciled)
            continue;
        if (!isNowReconciled) {
            observe({ .kind = dispatch_event_kind::WorkerUnreconciled, .worker = id, .disputedFor = disputedFor(now) });
            continue;
        }
        const auto reason
            = worker.hasListedAllEnds ? reconciliation_reason::EndsListed : reconciliation_reason::LeasesExpired;
        observe({ .kind = dispatch_event_kind::WorkerReconciled,
            .worker = id,
            .reconciliation = reason,
            .disputedFor = disputedFor(now) });
    }
}

bool dispatcher::isPoolReconciled(const Common::pool_id& pool, Common::instant now) const
{
    if (m_isLogComplete)
        return true;
    const auto& workers = workersOf(pool);
    return areWorkersKnown(now)
        && std::all_of(workers.begin(), workers.end(), [this, now](const auto* worker) { return isReconciled(*worker, now); });
}

bool dispatcher::knowsAllPlacements(Common::instant now) const
{
    if (m_isLogComplete)
        return true;
    return areWorkersKnown(now) && std::all_of(m_workers.begin(), m_workers.end(), [this, now](const auto& entry) {
        return isReconciled(entry.second, now);
    });
}

bool dispatcher::areAllPlacementsLogged(Common::instant now) const
{
    const auto isLogged = [this](const auto& entry) {
        return entry.second.isLogged || !entry.second.isSent || !m_jobs.contains(entry.first.job.value);
    };
    return knowsAllPlacements(now) && std::all_of(m_workers.begin(), m_workers.end(), [&isLogged](const auto& worker) {
        return std::all_of(worker.second.runs.begin(), worker.second.runs.end(), isLogged);
    });
}

}
