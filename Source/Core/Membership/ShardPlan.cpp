#include "Membership/ShardPlan.h"

#include "Common/Hashing.h"

namespace Membership {

Common::process_id preferredHolder(const Fleet::fleet_state& state, const Common::shard_id& shard)
{
    Common::process_id best;
    std::uint64_t bestRank = 0;
    for (const auto& [process, entry] : state.members) {
        const auto rank = Common::rendezvousRank(shard.value, process.value);
        if (entry.retiring || (!best.empty() && rank <= bestRank))
            continue;
        best = process;
        bestRank = rank;
    }
    return best;
}

std::vector<Common::shard_id> shardsToClaim(const Fleet::fleet_state& state, const Common::process_id& self)
{
    std::vector<Common::shard_id> claims;
    for (const auto& shard : Fleet::neededShards(state)) {
        if (!state.shards.contains(shard) && preferredHolder(state, shard) == self)
            claims.push_back(shard);
    }
    return claims;
}

std::vector<Common::shard_id> shardsToRelease(const Fleet::fleet_state& state, const Common::process_id& self,
    const lease_tracker& leases, const timing& limits, Common::instant now)
{
    const auto selfEntry = state.members.find(self);
    const bool isRetiring = selfEntry != state.members.end() && selfEntry->second.retiring;
    std::vector<Common::shard_id> releases;
    for (const auto& [shard, assignment] : state.shards) {
        if (assignment.holder != self)
            continue;
        const auto preferred = preferredHolder(state, shard);
        const auto seen = leases.firstSeen(preferred);
        const bool hasStayed = preferred != self && seen && now - *seen >= limits.settle;
        if (isRetiring || hasStayed)
            releases.push_back(shard);
    }
    return releases;
}

}
