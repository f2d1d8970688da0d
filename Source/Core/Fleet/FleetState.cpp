#include "Fleet/FleetState.h"

#include "Common/Hashing.h"

#include <algorithm>
#include <array>

namespace Fleet {

namespace {

    /// Number of shards that the team ledgers are split into.
    constexpr std::uint64_t ledgerShardCount = 16;
    constexpr std::string_view ledgerPrefix = "ledger:";
    constexpr std::string_view poolPrefix = "pool:";
    constexpr std::string_view openPrefix = "open:";

    const team_fields* findTeam(const template_fields& fields, const Common::team_id& team)
    {
        const auto found = std::ranges::find(fields.teams, team, &team_fields::team);
        return found == fields.teams.end() ? nullptr : &*found;
    }

    std::optional<team_quota> openQueueQuota(const fleet_state& state, const Common::team_id& team)
    {
        if (!team.value.starts_with(openPrefix))
            return std::nullopt;
        const auto queue = state.queues.find({ team.value.substr(openPrefix.size()) });
        if (queue == state.queues.end() || !queue->second.open)
            return std::nullopt;
        return team_quota { .account = {}, .share = { 1 }, .upperLimit = queue->second.openLimit };
    }

    std::optional<team_quota> templateQuota(const account_template& account, const Common::team_id& team)
    {
        const team_fields* const product = findTeam(account.productManager, team);
        if (!product)
            return std::nullopt;
        const team_fields* const operations = findTeam(account.operationsLead, team);
        team_quota quota;
        quota.share = product->share.value_or(Common::share_weight {});
        quota.upperLimit = product->upperLimit.value_or(Common::slot_count {});
        if (operations && operations->upperLimit)
            quota.upperLimit = std::min(quota.upperLimit, *operations->upperLimit);
        return quota;
    }

    Common::shard_id ledgerShardAt(std::uint64_t index)
    {
        return { std::string(ledgerPrefix) + std::to_string(index) };
    }

}

std::string_view toText(rejection reason)
{
    constexpr std::array<std::string_view, 24> names {
        "none", "stale_membership", "no_majority", "not_member", "already_member", "renewed", "shard_held",
        "stale_epoch", "revision_conflict", "field_not_owned", "shares_over_whole", "limit_out_of_range",
        "budget_never_met", "team_of_other_account", "budget_broken", "maintenance_full", "name_unknown",
        "name_in_use", "wrong_phase", "key_not_valid", "key_in_use", "role_missing", "id_reused", "already_finished"
    };
    return names.at(static_cast<std::size_t>(reason));
}

Common::team_id openTeam(const Common::queue_id& queue)
{
    return { std::string(openPrefix) + queue.value };
}

std::optional<team_quota> effectiveQuota(const fleet_state& state, const Common::team_id& team)
{
    for (const auto& [name, account] : state.accounts) {
        auto quota = templateQuota(account, team);
        if (!quota)
            continue;
        quota->account = name;
        return quota;
    }
    return openQueueQuota(state, team);
}

bool isOpenForWork(const fleet_state& state, const instance_record& instance)
{
    if (instance.phase != move_phase::InPool || instance.inMaintenance || instance.out)
        return false;
    return !state.dataCentresOut.contains(instance.dataCentre) && !state.racksOut.contains(instance.rack);
}

Common::shard_id poolShard(const Common::pool_id& pool)
{
    return { std::string(poolPrefix) + pool.value };
}

std::optional<Common::pool_id> poolOfShard(const Common::shard_id& shard)
{
    if (!shard.value.starts_with(poolPrefix))
        return std::nullopt;
    return Common::pool_id { shard.value.substr(poolPrefix.size()) };
}

Common::shard_id ledgerShard(const Common::team_id& team)
{
    return ledgerShardAt(Common::rendezvousRank(ledgerPrefix, team.value) % ledgerShardCount);
}

std::vector<Common::shard_id> neededShards(const fleet_state& state)
{
    std::set<Common::shard_id> shards;
    for (const auto& [name, queue] : state.queues)
        shards.insert(poolShard(queue.pool));
    for (const auto& [name, instance] : state.instances) {
        shards.insert(poolShard(instance.pool));
        if (!instance.target.empty())
            shards.insert(poolShard(instance.target));
    }
    for (std::uint64_t index = 0; index < ledgerShardCount; ++index)
        shards.insert(ledgerShardAt(index));
    return { shards.begin(), shards.end() };
}

std::optional<shard_assignment> holderOf(const fleet_state& state, const Common::shard_id& shard)
{
    const auto found = state.shards.find(shard);
    if (found == state.shards.end())
        return std::nullopt;
    return found->second;
}

}
