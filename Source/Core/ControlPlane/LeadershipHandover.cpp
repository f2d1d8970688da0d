#include "ControlPlane/LeadershipHandover.h"

#include "Common/Hashing.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

namespace {

    constexpr std::int64_t clearlyLargerFactor = 2;
    /// A candidate asks once it could have led for this long.
    constexpr Common::millis settleTime { 1500 };
    /// Candidates are staggered by up to this time, so that one asks first.
    constexpr std::uint64_t maxRequestStaggerMillis = 500;
    /// Shortest time between two requests for the same claim, of any candidates.
    constexpr Common::millis requestInterval { 3000 };
    constexpr Common::millis minTermAge { 1000 };
    constexpr Common::millis minTermAgeAfterFailure { 15000 };

}

bool isClearlyLarger(leader_room candidate, leader_room leader)
{
    return candidate > leader && candidate.value >= leader.value * clearlyLargerFactor;
}

handover_candidate::handover_candidate(std::string member)
    : m_member(std::move(member))
{
}

bool handover_candidate::isRequestDue(const handover_view& view, Common::instant now)
{
    if (!view.canStartTerm || !isClearlyLarger(view.own, view.leader)) {
        m_claim.reset();
        return false;
    }
    if (m_claim != view.claim) {
        m_claim = view.claim;
        const Common::millis stagger { static_cast<std::int64_t>(
            Common::rendezvousRank(m_member, std::to_string(view.claim)) % maxRequestStaggerMillis) };
        m_nextRequestAt = std::max(m_nextRequestAt, now + settleTime + stagger);
    }
    if (view.newestRequest && view.newestRequest != m_newestRequest) {
        m_newestRequest = view.newestRequest;
        m_nextRequestAt = std::max(m_nextRequestAt, now + requestInterval);
    }
    if (now < m_nextRequestAt || !view.isLeaderActive)
        return false;
    m_nextRequestAt = now + requestInterval;
    return true;
}

const char* toText(handover_answer answer)
{
    switch (answer) {
    case handover_answer::Agreed:
        return "agreed";
    case handover_answer::NotLarger:
        return "not_larger";
    case handover_answer::TooSoon:
        return "too_soon";
    case handover_answer::NotConfirmed:
        return "not_confirmed";
    case handover_answer::PlacementsNotLogged:
        return "placements_not_logged";
    case handover_answer::OrdersOpen:
        break;
    }
    return "orders_open";
}

handover_answer answerHandover(leader_room candidate, const handover_leader& leader)
{
    if (!isClearlyLarger(candidate, leader.room))
        return handover_answer::NotLarger;
    if (leader.termAge < (leader.followsFailedHandover ? minTermAgeAfterFailure : minTermAge))
        return handover_answer::TooSoon;
    if (!leader.isConfirmed)
        return handover_answer::NotConfirmed;
    if (!leader.arePlacementsLogged)
        return handover_answer::PlacementsNotLogged;
    return leader.hasOpenOrders ? handover_answer::OrdersOpen : handover_answer::Agreed;
}

}
