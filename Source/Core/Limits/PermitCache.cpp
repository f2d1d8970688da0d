#include "Limits/PermitCache.h"

#include "Fleet/FleetState.h"

#include <algorithm>

namespace Limits {

Common::slot_count permit_cache::wanted(const team_permits& entry)
{
    return std::max(entry.running + entry.waiting, entry.recentPeak);
}

Common::slot_count permit_cache::permitsToKeep(const team_permits& entry)
{
    const Common::slot_count useful = std::min({ entry.allowance, wanted(entry), std::max(entry.target, entry.running) });
    return std::max(useful, entry.running);
}

bool permit_cache::tryAcquire(const Common::team_id& team)
{
    team_permits& entry = m_shards[Fleet::ledgerShard(team)][team];
    // The target is below the allowance after the upper limit was lowered.
    if (entry.running >= std::min(entry.allowance, entry.target))
        return false;
    entry.running += { 1 };
    entry.recentPeak = std::max(entry.recentPeak, entry.running);
    return true;
}

void permit_cache::release(const Common::team_id& team)
{
    team_permits& entry = m_shards[Fleet::ledgerShard(team)][team];
    entry.running -= { 1 };
}

void permit_cache::addWaiting(const Common::team_id& team, Common::slot_count change)
{
    m_shards[Fleet::ledgerShard(team)][team].waiting += change;
}

bool permit_cache::needsReport(const Common::shard_id& shard, Common::shard_epoch epoch) const
{
    const auto last = m_exchanges.find(shard);
    if (last == m_exchanges.end() || last->second.epoch != epoch || !last->second.answered)
        return true;
    const auto teams = m_shards.find(shard);
    if (teams == m_shards.end())
        return false;
    return std::ranges::any_of(teams->second, [](const auto& entry) {
        return wanted(entry.second) > entry.second.allowance || permitsToKeep(entry.second) < entry.second.allowance;
    });
}

permit_report permit_cache::makeReport(const Common::shard_id& shard, Common::shard_epoch epoch)
{
    exchange& last = m_exchanges[shard];
    last.epoch = epoch;
    last.answered = false;
    ++last.sequence;
    permit_report report { .process = m_self, .shard = shard, .epoch = epoch, .sequence = last.sequence };
    for (auto& [team, entry] : m_shards[shard]) {
        entry.allowance = permitsToKeep(entry);
        report.needs.push_back({ .team = team, .kept = entry.allowance, .wanted = wanted(entry) });
    }
    return report;
}

void permit_cache::requestReports()
{
    for (auto& [shard, last] : m_exchanges)
        last.answered = false;
}

void permit_cache::decayPeaks()
{
    for (auto& [shard, teams] : m_shards) {
        for (auto& [team, entry] : teams)
            entry.recentPeak = std::max(entry.running, { entry.recentPeak.value / 2 });
    }
}

void permit_cache::onGrant(const permit_grant& grant)
{
    exchange& last = m_exchanges[grant.shard];
    if (grant.epoch != last.epoch || grant.sequence != last.sequence)
        return;
    last.answered = true;
    auto& teams = m_shards[grant.shard];
    for (const team_grant& granted : grant.grants) {
        team_permits& entry = teams[granted.team];
        entry.allowance = std::max(entry.allowance, granted.allowance);
        entry.target = granted.target;
    }
}

Common::slot_count permit_cache::running(const Common::team_id& team) const
{
    const auto teams = m_shards.find(Fleet::ledgerShard(team));
    if (teams == m_shards.end())
        return {};
    const auto entry = teams->second.find(team);
    return entry == teams->second.end() ? Common::slot_count {} : entry->second.running;
}

Common::slot_count permit_cache::allowance(const Common::team_id& team) const
{
    const auto teams = m_shards.find(Fleet::ledgerShard(team));
    if (teams == m_shards.end())
        return {};
    const auto entry = teams->second.find(team);
    return entry == teams->second.end() ? Common::slot_count {} : entry->second.allowance;
}

Common::slot_count permit_cache::runningTotal() const
{
    Common::slot_count total;
    for (const auto& [shard, teams] : m_shards) {
        for (const auto& [team, entry] : teams)
            total += entry.running;
    }
    return total;
}

}
