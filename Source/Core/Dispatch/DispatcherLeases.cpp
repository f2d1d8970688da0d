#include "Dispatch/Dispatcher.h"

#include <algorithm>

namespace Dispatch {

namespace {

    /// Longest wait of a look at a worker on which something runs; a lease outlasts several.
    constexpr Common::millis holdWait { 500 };
    /// A stop without an answer is sent again after this time.
    constexpr Common::millis stopRepeat { 300 };
    /// Fillers are slowed when a serving task comes this near to its target, and sped up below the second share.
    constexpr double slowAtShare = 0.85;
    constexpr double hastenBelowShare = 0.6;
    constexpr int paceStep = 10;

}

void dispatcher::setGrant(Common::instant now, const seat_standing& standing)
{
    const auto& lease = m_options.lease;
    m_knownUntil = Common::instant::max();
    m_isConfirmed = standing.isConfirmed(now);
    m_confirmedUntil = standing.confirmedUntil;
    m_isUnsure = !m_isConfirmed || standing.isInDoubt;
    m_grant = Common::millis(0);
    if (!standing.isHeld)
        return;
    if (!m_isUnsure) {
        m_grant = lease.lease;
        return;
    }
    m_knownUntil = standing.confirmedUntil;
    m_grant = std::min(lease.longestLease, Common::elapsed(now, standing.confirmedUntil + lease.longestLease));
}

void dispatcher::expire(Common::instant now, const seat_standing& standing)
{
    // Another holder may be extending what we can't see any more.
    if (!standing.isConfirmed(now))
        return;
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        auto& worker = entry->second;
        const bool hasLapsed = now >= worker.lapseBound && !worker.isHoldOpen;
        // What hasn't been sent there holds no lease yet.
        const bool hasSent = std::any_of(
            worker.runs.begin(), worker.runs.end(), [](const auto& held) { return held.second.isSent; });
        if (hasLapsed && hasSent) {
            observe({ .kind = dispatch_event_kind::WorkerLapsed, .worker = worker.entry.id });
            loseAllRuns(worker, now);
        }
        if (hasLapsed && !worker.isListed && worker.runs.empty()) {
            m_uncovered.erase(entry->first);
            m_toldEnd.erase(entry->first);
            entry = m_workers.erase(entry);
        } else {
            ++entry;
        }
    }
}

void dispatcher::planStops(Common::instant now, dispatch_orders& orders)
{
    for (auto& [id, worker] : m_workers) {
        for (auto& [name, run] : worker.runs) {
            if (run.phase != run_phase::Stopping || !run.isSent || run.isStopOpen || run.stopTakenAt)
                continue;
            if (run.stopSentAt && now < *run.stopSentAt + stopRepeat)
                continue;
            run.stopSentAt = now;
            run.isStopOpen = true;
            orders.stops.push_back(
                { .worker = { worker.entry.id, worker.entry.address }, .task = name, .run = run.run });
        }
    }
}

void dispatcher::planHolds(Common::instant now, dispatch_orders& orders)
{
    for (auto& [id, worker] : m_workers) {
        if (worker.isHoldOpen || now < worker.nextHold || worker.entry.address.port == 0)
            continue;
        const bool hasNews = worker.notedEnd > m_toldEnd[id];
        const auto hasPhase = [&runs = worker.runs](run_phase phase) {
            return std::any_of(
                runs.begin(), runs.end(), [phase](const auto& entry) { return entry.second.phase == phase; });
        };
        // A start brings its own lease; its answer is worth waiting for.
        if (worker.isInventoried && !hasNews && !hasPhase(run_phase::Running) && !hasPhase(run_phase::Stopping))
            continue;
        hold_order order { .worker = { worker.entry.id, worker.entry.address }, .noted = worker.notedEnd };
        // A silent worker gets no new time, so that what runs there lapses.
        const bool isExtended = m_grant >= m_options.lease.leastGrant && worker.knowsClock()
            && worker.holdsWithoutAnswer == 0 && !worker.runs.empty();
        if (isExtended)
            order.deadline = worker.grant(now, m_grant);
        if (isExtended && !hasPhase(run_phase::Stopping))
            order.wait = holdWait;
        worker.isHoldOpen = true;
        m_toldEnd[id] = worker.notedEnd;
        orders.holds.push_back(order);
    }
}

void dispatcher::planPaces(dispatch_orders& orders)
{
    for (auto& [id, worker] : m_workers) {
        double worst = -1;
        for (const auto& [name, run] : worker.runs) {
            const auto* job = findJob(name.job);
            if (!job || !run.isLasting || run.isFiller || job->spec(name).latencyTarget.count() <= 0)
                continue;
            const auto target = static_cast<double>(job->spec(name).latencyTarget.count());
            worst = std::max(worst, static_cast<double>(run.load) / target);
        }
        if (worst < 0)
            continue;
        for (auto& [name, run] : worker.runs) {
            if (!run.isFiller || run.phase != run_phase::Running)
                continue;
            int pace = run.pace;
            if (worst > slowAtShare)
                pace = pace / 2;
            else if (worst < hastenBelowShare)
                pace = std::min(100, pace + paceStep);
            if (pace == run.pace)
                continue;
            run.pace = pace;
            orders.paces.push_back({ .worker = { worker.entry.id, worker.entry.address },
                .task = name,
                .run = run.run,
                .pace = { pace } });
        }
    }
}

}
