#include "Dispatch/Dispatcher.h"

#include <algorithm>

/// Grants leases and ends what they no longer cover. A leader that takes over assumes that every lease of its predecessor has ended
/// by `latestLeaseEnd` of the takeover and `maxLease`. So no lease lasts longer than `maxLease` after the last instant at which no other
/// leader can have taken over. That holds on the worker's clock too, which falls behind the estimate from its last reading.
namespace Dispatch {

namespace {

    /// Longest wait of a long poll while tasks run on the worker; a lease covers several of them.
    constexpr Common::millis pollWait { 500 };
    /// Delay before an unanswered stop is sent again.
    constexpr Common::millis stopRetryInterval { 300 };
    /// An idle worker is polled when its clock may have fallen further behind the estimate, since that shortens the leases that can
    /// be granted there.
    constexpr Common::millis maxClockLag { 2000 };
    /// Best-effort tasks are slowed down when the latency of a long-running task on the worker exceeds the first share
    /// of its target, and sped up when it is below the second.
    constexpr double slowDownAboveShare = 0.85;
    constexpr double speedUpBelowShare = 0.6;
    /// Increase of a task's pace per order, in percent of full pace.
    constexpr int paceStep = 10;

}

void dispatcher::updateCurrentLease(Common::instant now, const leadership_status& status)
{
    const auto& lease = m_options.lease;
    m_jobCutoff = Common::instant::max();
    m_isConfirmed = status.isConfirmed(now);
    m_confirmedUntil = status.confirmedUntil;
    m_isDegraded = !m_isConfirmed || status.isStoreUnresponsive;
    m_currentLease = Common::millis(0);
    if (!status.isHeld)
        return;
    if (!m_isDegraded) {
        m_currentLease = lease.lease;
        return;
    }
    m_jobCutoff = status.confirmedUntil;
    m_currentLease = std::min(lease.maxLease, Common::elapsed(now, status.confirmedUntil + lease.maxLease));
}

Common::millis dispatcher::longestGrant(const worker_state& worker, Common::instant now) const
{
    return Common::elapsed(now, m_confirmedUntil + m_options.lease.maxLease) - worker.clockLag(now);
}

void dispatcher::expireLeases(Common::instant now, const leadership_status& status)
{
    // Another leader may have taken over and be renewing these leases.
    if (!status.isConfirmed(now))
        return;
    endEvidenceWaits(now);
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        auto& worker = entry->second;
        const bool areLeasesOver = now >= worker.leaseExpiryBound && !worker.isPollInFlight;
        // Runs whose start hasn't been sent have no lease yet.
        const auto hasSent = [&runs = worker.runs] {
            return std::any_of(runs.begin(), runs.end(), [](const auto& item) { return item.second.isSent; });
        };
        if (areLeasesOver && hasSent()) {
            observe({ .kind = dispatch_event_kind::WorkerLeaseExpired, .worker = worker.entry.id });
            noteSilentLoss(worker, now);
            loseAllRuns(worker, now);
            m_openLosses.erase(worker.entry.id);
        }
        if (areLeasesOver && !worker.isRegistered && worker.runs.empty()) {
            m_uncommittedEnds.erase(entry->first);
            m_acknowledgedEnds.erase(entry->first);
            unindexWorker(worker);
            entry = m_workers.erase(entry);
        } else {
            ++entry;
        }
    }
}

void dispatcher::planStops(Common::instant now, dispatch_orders& orders)
{
    for (auto& [id, worker] : m_workers) {
        if (!worker.hasRunsIn(run_phase::Stopping))
            continue;
        for (auto& [name, run] : worker.runs) {
            if (run.phase != run_phase::Stopping || !run.isSent || run.isStopInFlight || run.stopAcceptedAt)
                continue;
            if (run.stopSentAt && now < *run.stopSentAt + stopRetryInterval)
                continue;
            run.stopSentAt = now;
            run.isStopInFlight = true;
            orders.stops.push_back(
                { .worker = worker.recipient(), .task = name, .run = run.run });
        }
    }
}

bool dispatcher::hasUnstoppedRuns(const worker_state& worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this](const auto& entry) {
        const auto& [name, run] = entry;
        if (run.phase != run_phase::Stopping || !run.isSent || run.stopAcceptedAt)
            return false;
        const auto* job = findJob(name.job);
        return !job || Jobs::isFinal(job->state);
    });
}

void dispatcher::planPolls(Common::instant now, dispatch_orders& orders)
{
    for (auto& [id, worker] : m_workers) {
        if (worker.isPollInFlight || now < worker.nextPollAt || worker.entry.address.port == 0)
            continue;
        const bool hasNewAcknowledgement = worker.storedEnd > m_acknowledgedEnds[id];
        // A start grants its own lease, so there is no need to poll before it is answered.
        const bool hasStarted = worker.hasRunsIn(run_phase::Running) || worker.hasRunsIn(run_phase::Stopping);
        // A worker that didn't answer gets no work until it answers a poll.
        const bool isClockOld = worker.clockLag(now) > maxClockLag;
        if (worker.hasReported && !worker.failedAt && !hasStarted && !hasNewAcknowledgement && !isClockOld)
            continue;
        poll_order order { .worker = worker.recipient() };
        // An incarnation that isn't known yet would forget its own ends up to this number, so only new ones are acknowledged.
        if (hasNewAcknowledgement)
            order.acknowledgedEnd = worker.storedEnd;
        // An unresponsive worker gets no renewal, so that its leases expire.
        const auto lease = std::min(m_currentLease, longestGrant(worker, now));
        const bool isExtended = lease >= m_options.lease.minLease && worker.knowsClock()
            && worker.unansweredPolls == 0 && !worker.runs.empty() && !hasUnstoppedRuns(worker);
        if (isExtended)
            order.deadline = worker.grantLease(now, lease, m_options.bounds);
        if (isExtended && !worker.hasRunsIn(run_phase::Stopping))
            order.wait = pollWait;
        worker.isPollInFlight = true;
        orders.polls.push_back(order);
    }
}

void dispatcher::planPaces(dispatch_orders& orders)
{
    for (auto& [id, worker] : m_workers) {
        if (!worker.hasBestEffortRuns())
            continue;
        double worst = -1;
        for (const auto& [name, run] : worker.runs) {
            const auto* job = findJob(name.job);
            if (!job || !run.isLongRunning || run.isBestEffort || job->spec(name).latencyTarget.count() <= 0)
                continue;
            const auto target = static_cast<double>(job->spec(name).latencyTarget.count());
            worst = std::max(worst, static_cast<double>(run.load) / target);
        }
        if (worst < 0)
            continue;
        for (auto& [name, run] : worker.runs) {
            if (!run.isBestEffort || run.phase != run_phase::Running)
                continue;
            int pace = run.pace;
            if (worst > slowDownAboveShare)
                pace = pace / 2;
            else if (worst < speedUpBelowShare)
                pace = std::min(100, pace + paceStep);
            if (pace == run.pace)
                continue;
            run.pace = pace;
            orders.paces.push_back({ .worker = worker.recipient(),
                .task = name,
                .run = run.run,
                .pace = { pace } });
        }
    }
}

}
