#include "Membership/LeaseTracker.h"

#include "Fleet/MembershipRules.h"

#include <algorithm>

namespace Membership {

lease_tracker::lease_tracker(Common::process_id self, timing limits, Common::instant started)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_renewalSentAt(started)
    , m_leaseUntil(started)
    , m_viewConfirmedAt(started - limits.freshness)
    , m_logRespondedAt(started)
    , m_promisedUntil(started)
    , m_roundStartedAt(started)
{
}

void lease_tracker::onState(const Fleet::fleet_state& state, Common::instant now)
{
    std::erase_if(m_members, [&state](const auto& entry) { return !state.members.contains(entry.first); });
    for (const auto& [process, entry] : state.members) {
        const auto [found, isNewMember] = m_members.try_emplace(
            process, observation { .renewed = entry.renewed, .renewalSeenAt = now, .firstSeen = now });
        if (isNewMember || found->second.renewed == entry.renewed)
            continue;
        found->second.renewed = entry.renewed;
        found->second.renewalSeenAt = now;
    }
    const auto self = state.members.find(m_self);
    if (self == state.members.end()) {
        m_leaseUntil = std::min(m_leaseUntil, now);
        m_promisedUntil = std::min(m_promisedUntil, now);
        return;
    }
    // A renewal extends the lease only once it is applied while this daemon is a member; an answer to its append isn't
    // enough.
    while (!m_ownRenewals.empty() && m_ownRenewals.begin()->first <= self->second.renewed) {
        m_leaseUntil = std::max(m_leaseUntil, m_ownRenewals.begin()->second + m_limits.lease);
        m_ownRenewals.erase(m_ownRenewals.begin());
    }
}

void lease_tracker::onRenewalAppended(Common::log_offset offset, Common::instant startedAt)
{
    m_ownRenewals[offset] = startedAt;
}

void lease_tracker::onViewConfirmed(Common::instant startedAt)
{
    m_viewConfirmedAt = std::max(m_viewConfirmedAt, startedAt);
}

void lease_tracker::onLogResponse(Common::instant now)
{
    m_logRespondedAt = std::max(m_logRespondedAt, now);
}

void lease_tracker::beginPromiseRound(const Fleet::fleet_state& state, Common::instant now)
{
    m_roundStartedAt = now;
    m_roundVersion = state.membershipVersion;
    m_roundPromises.clear();
}

void lease_tracker::onPromiseGranted(const Common::process_id& from, const Fleet::fleet_state& state)
{
    if (state.membershipVersion != m_roundVersion || !isMember(state))
        return;
    m_roundPromises.insert(from);
    const std::vector<Common::process_id> promisers(m_roundPromises.begin(), m_roundPromises.end());
    if (Fleet::hasMajority(state, promisers, {}, {}))
        m_promisedUntil = std::max(m_promisedUntil, m_roundStartedAt + m_limits.promise - m_limits.margin);
}

bool lease_tracker::isMember(const Fleet::fleet_state& state) const
{
    return state.members.contains(m_self);
}

bool lease_tracker::isLogUnavailable(Common::instant now) const
{
    return now - m_logRespondedAt > m_limits.logUnavailableAfter;
}

Common::instant lease_tracker::mayActUntil() const
{
    const Common::instant byLog = std::min(m_leaseUntil, m_viewConfirmedAt + m_limits.freshness);
    return std::max(byLog, m_promisedUntil);
}

bool lease_tracker::hasExpired(const Common::process_id& process, Common::instant now) const
{
    const auto found = m_members.find(process);
    return found != m_members.end() && now - found->second.renewalSeenAt > m_limits.lease + m_limits.margin;
}

std::vector<Common::process_id> lease_tracker::expiredMembers(
    const Fleet::fleet_state& state, Common::instant now) const
{
    std::vector<Common::process_id> expired;
    for (const auto& [process, entry] : state.members) {
        if (process != m_self && hasExpired(process, now))
            expired.push_back(process);
    }
    return expired;
}

bool lease_tracker::shouldRenew(Common::instant now) const
{
    return now - m_renewalSentAt >= m_limits.renewEvery;
}

std::optional<Common::instant> lease_tracker::firstSeen(const Common::process_id& process) const
{
    const auto found = m_members.find(process);
    if (found == m_members.end())
        return std::nullopt;
    return found->second.firstSeen;
}

}
