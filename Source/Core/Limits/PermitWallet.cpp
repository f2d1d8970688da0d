#include "Limits/PermitWallet.h"

#include "Fleet/FleetState.h"

#include <algorithm>

namespace Limits {

Common::slot_count permit_wallet::wanted(const line& entry)
{
    return std::max(entry.running + entry.waiting, entry.warm);
}

Common::slot_count permit_wallet::keepable(const line& entry)
{
    const Common::slot_count useful = std::min({ entry.allowance, wanted(entry), std::max(entry.target, entry.running) });
    return std::max(useful, entry.running);
}

bool permit_wallet::tryTake(const Common::team_id& team)
{
    line& entry = m_shards[Fleet::ledgerShard(team)][team];
    // The target is lower than the allowance when the upper limit was lowered.
    if (entry.running >= std::min(entry.allowance, entry.target))
        return false;
    entry.running += { 1 };
    entry.warm = std::max(entry.warm, entry.running);
    return true;
}

void permit_wallet::giveBack(const Common::team_id& team)
{
    line& entry = m_shards[Fleet::ledgerShard(team)][team];
    entry.running -= { 1 };
}

void permit_wallet::addWaiting(const Common::team_id& team, Common::slot_count change)
{
    m_shards[Fleet::ledgerShard(team)][team].waiting += change;
}

bool permit_wallet::wantsExchange(const Common::shard_id& shard, Common::shard_epoch epoch) const
{
    const auto spoken = m_exchanges.find(shard);
    if (spoken == m_exchanges.end() || spoken->second.epoch != epoch || !spoken->second.answered)
        return true;
    const auto lines = m_shards.find(shard);
    if (lines == m_shards.end())
        return false;
    return std::ranges::any_of(lines->second, [](const auto& entry) {
        return wanted(entry.second) > entry.second.allowance || keepable(entry.second) < entry.second.allowance;
    });
}

permit_report permit_wallet::makeReport(const Common::shard_id& shard, Common::shard_epoch epoch)
{
    exchange& spoken = m_exchanges[shard];
    spoken.epoch = epoch;
    spoken.answered = false;
    ++spoken.sequence;
    permit_report report { .process = m_self, .shard = shard, .epoch = epoch, .sequence = spoken.sequence };
    for (auto& [team, entry] : m_shards[shard]) {
        entry.allowance = keepable(entry);
        report.needs.push_back({ .team = team, .kept = entry.allowance, .wanted = wanted(entry) });
    }
    return report;
}

void permit_wallet::refresh()
{
    for (auto& [shard, spoken] : m_exchanges)
        spoken.answered = false;
}

void permit_wallet::cool()
{
    for (auto& [shard, lines] : m_shards) {
        for (auto& [team, entry] : lines)
            entry.warm = std::max(entry.running, { entry.warm.value / 2 });
    }
}

void permit_wallet::onGrant(const permit_grant& grant)
{
    exchange& spoken = m_exchanges[grant.shard];
    if (grant.epoch != spoken.epoch || grant.sequence != spoken.sequence)
        return;
    spoken.answered = true;
    auto& lines = m_shards[grant.shard];
    for (const team_grant& given : grant.grants) {
        line& entry = lines[given.team];
        entry.allowance = std::max(entry.allowance, given.allowance);
        entry.target = given.target;
    }
}

Common::slot_count permit_wallet::running(const Common::team_id& team) const
{
    const auto lines = m_shards.find(Fleet::ledgerShard(team));
    if (lines == m_shards.end())
        return {};
    const auto entry = lines->second.find(team);
    return entry == lines->second.end() ? Common::slot_count {} : entry->second.running;
}

Common::slot_count permit_wallet::allowance(const Common::team_id& team) const
{
    const auto lines = m_shards.find(Fleet::ledgerShard(team));
    if (lines == m_shards.end())
        return {};
    const auto entry = lines->second.find(team);
    return entry == lines->second.end() ? Common::slot_count {} : entry->second.allowance;
}

Common::slot_count permit_wallet::runningTotal() const
{
    Common::slot_count total;
    for (const auto& [shard, lines] : m_shards) {
        for (const auto& [team, entry] : lines)
            total += entry.running;
    }
    return total;
}

}
