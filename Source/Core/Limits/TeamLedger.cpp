#include "Limits/TeamLedger.h"

#include <algorithm>

namespace Limits {

namespace {

    /// Max-min fair share of `limit` for a daemon that wants `own`: small wants are met in full, the rest is divided
    /// equally.
    std::int64_t fairShare(std::vector<std::int64_t> wants, std::int64_t own, std::int64_t limit)
    {
        std::ranges::sort(wants);
        std::int64_t remaining = limit;
        auto remainingWants = static_cast<std::int64_t>(wants.size());
        for (const std::int64_t want : wants) {
            const std::int64_t equalShare = (remaining + remainingWants - 1) / remainingWants;
            if (want >= own)
                return std::min(own, equalShare);
            const std::int64_t granted = std::min(want, equalShare);
            remaining -= granted;
            --remainingWants;
        }
        return std::min(own, remaining);
    }

}

team_ledger::team_ledger(options chosen, const Fleet::fleet_state& state)
    : m_options(std::move(chosen))
{
    for (const auto& [process, entry] : state.members)
        m_unreported.insert(process);
}

void team_ledger::onMemberRemoved(const Common::process_id& process, bool gracefully, Common::instant now)
{
    m_sequences.erase(process);
    if (gracefully) {
        m_unreported.erase(process);
        for (auto& [team, teamEntry] : m_teams)
            teamEntry.members.erase(process);
        return;
    }
    m_lost[process] = now + m_options.orphanedTaskTimeout;
}

void team_ledger::removeExpired(Common::instant now)
{
    std::erase_if(m_lost, [this, now](const auto& entry) {
        if (entry.second > now)
            return false;
        m_unreported.erase(entry.first);
        for (auto& [team, teamEntry] : m_teams)
            teamEntry.members.erase(entry.first);
        return true;
    });
}

bool team_ledger::isReady(Common::instant now) const
{
    return m_unreported.empty() && now >= m_options.noGrantsBefore;
}

std::optional<permit_grant> team_ledger::onReport(
    const permit_report& report, const Fleet::fleet_state& state, Common::instant now)
{
    removeExpired(now);
    if (report.epoch != m_options.epoch || !state.members.contains(report.process))
        return std::nullopt;
    const auto known = m_sequences.find(report.process);
    if (known != m_sequences.end() && report.sequence <= known->second)
        return std::nullopt;
    m_sequences[report.process] = report.sequence;
    m_unreported.erase(report.process);
    permit_grant answer { .shard = m_options.shard, .epoch = m_options.epoch, .sequence = report.sequence };
    for (const permit_need& need : report.needs)
        answer.grants.push_back(grantFor(m_teams[need.team], need, report.process, state, now));
    return answer;
}

team_grant team_ledger::grantFor(team_entry& teamEntry, const permit_need& need, const Common::process_id& process,
    const Fleet::fleet_state& state, Common::instant now) const
{
    member_permits& member = teamEntry.members[process];
    member = { .kept = need.kept, .wanted = need.wanted };
    const auto terms = Fleet::effectiveQuota(state, need.team);
    const std::int64_t limit = terms ? terms->upperLimit.value : 0;
    std::int64_t granted = 0;
    std::vector<std::int64_t> wants;
    for (const auto& [holder, entry] : teamEntry.members) {
        granted += entry.kept.value;
        wants.push_back(m_lost.contains(holder) ? entry.kept.value : entry.wanted.value);
    }
    const std::int64_t target = fairShare(wants, need.wanted.value, limit);
    const std::int64_t free = std::max<std::int64_t>(0, limit - granted);
    const std::int64_t raise = std::clamp<std::int64_t>(target - need.kept.value, 0, free);
    if (isReady(now))
        member.kept += { raise };
    return { .team = need.team, .allowance = member.kept, .target = { target } };
}

Common::slot_count team_ledger::grantedPermits(const Common::team_id& team) const
{
    Common::slot_count granted;
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return granted;
    for (const auto& [process, member] : found->second.members)
        granted += member.kept;
    return granted;
}

}
