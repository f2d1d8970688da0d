#include "Roster/PromiseBook.h"

#include <algorithm>

namespace Roster {

bool promise_book::givePromise(
    const promise_request& request, const Fleet::fleet_state& state, bool lacksLog, Common::instant now)
{
    const auto asker = state.members.find(request.asker);
    if (!lacksLog || asker == state.members.end() || !state.members.contains(m_self))
        return false;
    if (request.version != state.membershipVersion || request.applied < state.applied)
        return false;
    if (m_backedJoin && *m_backedJoin >= state.membershipVersion)
        return false;
    const auto backed = m_backedRemoval.find(request.asker);
    if (backed != m_backedRemoval.end() && backed->second >= asker->second.renewed)
        return false;
    m_promisedUntil[request.asker] = now + m_limits.promise;
    return true;
}

bool promise_book::giveBacking(
    const backing_request& request, const Fleet::fleet_state& state, bool isLapsed, Common::instant now)
{
    if (!state.members.contains(m_self) || request.version != state.membershipVersion)
        return false;
    if (request.target.empty()) {
        if (holdsPromises(now))
            return false;
        m_backedJoin = state.membershipVersion;
        return true;
    }
    const auto target = state.members.find(request.target);
    if (target == state.members.end() || target->second.renewed != request.renewed)
        return false;
    if (!isLapsed || hasPromised(request.target, now))
        return false;
    m_backedRemoval[request.target] = request.renewed;
    return true;
}

bool promise_book::holdsPromises(Common::instant now) const
{
    return std::ranges::any_of(m_promisedUntil, [now](const auto& entry) { return entry.second > now; });
}

bool promise_book::hasPromised(const Common::process_id& process, Common::instant now) const
{
    const auto found = m_promisedUntil.find(process);
    return found != m_promisedUntil.end() && found->second > now;
}

}
