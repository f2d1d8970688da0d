#include "Membership/MembershipVoter.h"

#include <algorithm>

namespace Membership {

bool membership_voter::grantPromise(
    const promise_request& request, const Fleet::fleet_state& state, bool isLogUnavailable, Common::instant now)
{
    const auto requester = state.members.find(request.asker);
    if (!isLogUnavailable || requester == state.members.end() || !state.members.contains(m_self))
        return false;
    if (request.version != state.membershipVersion || request.applied < state.applied)
        return false;
    if (hasPendingVote(state))
        return false;
    m_promisedUntil[request.asker] = now + m_limits.promise;
    return true;
}

bool membership_voter::grantVote(
    const vote_request& request, const Fleet::fleet_state& state, bool isExpired, Common::instant now)
{
    if (!state.members.contains(m_self) || request.version != state.membershipVersion)
        return false;
    if (hasActivePromises(now))
        return false;
    if (request.target.empty()) {
        m_joinVote = state.membershipVersion;
        return true;
    }
    const auto target = state.members.find(request.target);
    if (target == state.members.end() || target->second.renewed != request.renewed)
        return false;
    if (!isExpired)
        return false;
    m_removalVotes[request.target] = { .renewed = request.renewed, .version = request.version };
    return true;
}

bool membership_voter::hasActivePromises(Common::instant now) const
{
    return std::ranges::any_of(m_promisedUntil, [now](const auto& entry) { return entry.second > now; });
}

bool membership_voter::hasPendingVote(const Fleet::fleet_state& state) const
{
    if (m_joinVote && *m_joinVote >= state.membershipVersion)
        return true;
    return std::ranges::any_of(m_removalVotes, [&state](const auto& entry) {
        const auto target = state.members.find(entry.first);
        const bool isVoid = target == state.members.end() || target->second.renewed > entry.second.renewed;
        return !isVoid && entry.second.version >= state.membershipVersion;
    });
}

}
