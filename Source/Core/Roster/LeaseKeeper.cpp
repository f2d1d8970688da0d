#include "Roster/LeaseKeeper.h"

#include "Fleet/MembershipRules.h"

#include <algorithm>

namespace Roster {

lease_keeper::lease_keeper(Common::process_id self, timing limits, Common::instant started)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_renewalAskedAt(started)
    , m_leaseUntil(started)
    , m_viewConfirmed(started - limits.freshness)
    , m_logAnswered(started)
    , m_promisedUntil(started)
    , m_roundBegan(started)
{
}

void lease_keeper::onState(const Fleet::fleet_state& state, Common::instant now)
{
    std::erase_if(m_observed, [&state](const auto& entry) { return !state.members.contains(entry.first); });
    for (const auto& [process, entry] : state.members) {
        const auto [found, isNew] = m_observed.try_emplace(
            process, observation { .renewed = entry.renewed, .renewedSeen = now, .firstSeen = now });
        if (isNew || found->second.renewed == entry.renewed)
            continue;
        found->second.renewed = entry.renewed;
        found->second.renewedSeen = now;
    }
    const auto self = state.members.find(m_self);
    if (self == state.members.end()) {
        m_leaseUntil = std::min(m_leaseUntil, now);
        m_promisedUntil = std::min(m_promisedUntil, now);
        return;
    }
    // An answer to an append isn't enough: only a renewal that was applied while a member counts.
    while (!m_ownRenewals.empty() && m_ownRenewals.begin()->first <= self->second.renewed) {
        m_leaseUntil = std::max(m_leaseUntil, m_ownRenewals.begin()->second + m_limits.lease);
        m_ownRenewals.erase(m_ownRenewals.begin());
    }
}

void lease_keeper::onRenewalTaken(Common::log_offset offset, Common::instant began)
{
    m_ownRenewals[offset] = began;
}

void lease_keeper::onViewConfirmed(Common::instant began)
{
    m_viewConfirmed = std::max(m_viewConfirmed, began);
}

void lease_keeper::onLogAnswered(Common::instant now)
{
    m_logAnswered = std::max(m_logAnswered, now);
}

void lease_keeper::beginPromiseRound(const Fleet::fleet_state& state, Common::instant now)
{
    m_roundBegan = now;
    m_roundVersion = state.membershipVersion;
    m_roundPromises.clear();
}

void lease_keeper::onPromiseGiven(const Common::process_id& from, const Fleet::fleet_state& state)
{
    if (state.membershipVersion != m_roundVersion || !isMember(state))
        return;
    m_roundPromises.insert(from);
    const std::vector<Common::process_id> promised(m_roundPromises.begin(), m_roundPromises.end());
    if (Fleet::hasMajority(state, promised, {}, {}))
        m_promisedUntil = std::max(m_promisedUntil, m_roundBegan + m_limits.promise - m_limits.margin);
}

bool lease_keeper::isMember(const Fleet::fleet_state& state) const
{
    return state.members.contains(m_self);
}

bool lease_keeper::lacksLog(Common::instant now) const
{
    return now - m_logAnswered > m_limits.lackLogAfter;
}

Common::instant lease_keeper::actsUntil() const
{
    const Common::instant byLog = std::min(m_leaseUntil, m_viewConfirmed + m_limits.freshness);
    return std::max(byLog, m_promisedUntil);
}

bool lease_keeper::hasLapsed(const Common::process_id& process, Common::instant now) const
{
    const auto found = m_observed.find(process);
    return found != m_observed.end() && now - found->second.renewedSeen > m_limits.lease + m_limits.margin;
}

std::vector<Common::process_id> lease_keeper::lapsedMembers(
    const Fleet::fleet_state& state, Common::instant now) const
{
    std::vector<Common::process_id> lapsed;
    for (const auto& [process, entry] : state.members) {
        if (process != m_self && hasLapsed(process, now))
            lapsed.push_back(process);
    }
    return lapsed;
}

bool lease_keeper::shouldRenew(Common::instant now) const
{
    return now - m_renewalAskedAt >= m_limits.renewEvery;
}

std::optional<Common::instant> lease_keeper::firstSeen(const Common::process_id& process) const
{
    const auto found = m_observed.find(process);
    if (found == m_observed.end())
        return std::nullopt;
    return found->second.firstSeen;
}

}
