#include "Rules/FleetRules.h"

#include <algorithm>

namespace Rules {

namespace {

    template <typename Items, typename Id>
    auto findById(const Items& items, const Id& id) -> decltype(items.data())
    {
        const auto found
            = std::find_if(items.begin(), items.end(), [&id](const auto& item) { return item.id == id; });
        return found == items.end() ? nullptr : &*found;
    }

}

const queue_rule* fleet_rules::findQueue(const Common::queue_id& id) const { return findById(queues, id); }

const team_rule* fleet_rules::findTeam(const Common::team_id& id) const { return findById(teams, id); }

const pool_rule* fleet_rules::findPool(const Common::pool_id& id) const { return findById(pools, id); }

const queue_rule* fleet_rules::matchQueue(std::string_view host, std::string_view path) const
{
    const queue_rule* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const team_rule* fleet_rules::teamOfKey(std::string_view key) const
{
    for (const auto& team : teams) {
        if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end())
            return &team;
    }
    return nullptr;
}

bool fleet_rules::hasWeights() const
{
    return std::any_of(teams.begin(), teams.end(), [](const auto& team) { return team.weight.has_value(); });
}

}
