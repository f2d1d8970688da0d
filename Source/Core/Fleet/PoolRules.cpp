#include "Fleet/PoolRules.h"

#include "Fleet/Budgets.h"

#include <algorithm>

namespace Fleet {

namespace {

    bool isKnownPool(const fleet_state& state, const Common::pool_id& pool)
    {
        const auto shards = neededShards(state);
        return std::ranges::find(shards, poolShard(pool)) != shards.end();
    }

    template <typename Id>
    void setOut(std::set<Id>& zones, const Id& zone, bool out)
    {
        if (out)
            zones.insert(zone);
        else
            zones.erase(zone);
    }

    bool holdsPool(const fleet_state& state, const Common::pool_id& pool, Common::shard_epoch epoch)
    {
        const auto holding = holderOf(state, poolShard(pool));
        return holding && holding->epoch == epoch;
    }

    rejection checkLeaving(const fleet_state& state, const instance_record& instance,
        const std::vector<Common::instance_id>& knownDown)
    {
        if (instance.phase != move_phase::InPool || instance.inMaintenance)
            return rejection::WrongPhase;
        const pool_availability pool = availabilityOf(state, instance.pool, knownDown);
        // An instance that is out of service already isn't counted as available.
        if (isOpenForWork(state, instance) && !canLoseOne(state, pool))
            return rejection::BudgetBroken;
        return rejection::None;
    }

}

rejection applyCommand(fleet_state& state, const set_zone& zone)
{
    if (zone.kind == zone_kind::Instance) {
        const auto found = state.instances.find({ zone.name });
        if (found == state.instances.end())
            return rejection::NameUnknown;
        found->second.out = zone.out;
        return rejection::None;
    }
    const bool known = std::ranges::any_of(state.instances, [&zone](const auto& entry) {
        const auto& name = zone.kind == zone_kind::Rack ? entry.second.rack.value : entry.second.dataCentre.value;
        return name == zone.name;
    });
    if (!known)
        return rejection::NameUnknown;
    if (zone.kind == zone_kind::Rack)
        setOut(state.racksOut, Common::rack_id { zone.name }, zone.out);
    else
        setOut(state.dataCentresOut, Common::data_centre_id { zone.name }, zone.out);
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const place_instance& place)
{
    if (place.instance.empty() || place.pool.empty())
        return rejection::NameUnknown;
    if (state.instances.contains(place.instance))
        return rejection::NameInUse;
    state.instances[place.instance] = { .pool = place.pool, .dataCentre = place.dataCentre, .rack = place.rack };
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const begin_move& move)
{
    const auto found = state.instances.find(move.instance);
    if (found == state.instances.end() || !isKnownPool(state, move.target))
        return rejection::NameUnknown;
    instance_record& instance = found->second;
    if (instance.pool == move.target)
        return rejection::NameInUse;
    if (const rejection reason = checkLeaving(state, instance, move.knownDown); reason != rejection::None)
        return reason;
    instance.phase = move_phase::Leaving;
    instance.target = move.target;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const release_instance& release)
{
    const auto found = state.instances.find(release.instance);
    if (found == state.instances.end())
        return rejection::NameUnknown;
    if (found->second.phase != move_phase::Leaving)
        return rejection::WrongPhase;
    if (!holdsPool(state, found->second.pool, release.epoch))
        return rejection::StaleEpoch;
    found->second.phase = move_phase::Released;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const join_pool& join)
{
    const auto found = state.instances.find(join.instance);
    if (found == state.instances.end())
        return rejection::NameUnknown;
    instance_record& instance = found->second;
    if (instance.phase != move_phase::Released)
        return rejection::WrongPhase;
    if (!holdsPool(state, instance.target, join.epoch))
        return rejection::StaleEpoch;
    instance.pool = instance.target;
    instance.target = {};
    instance.phase = move_phase::InPool;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const drain_instance& drain)
{
    const auto found = state.instances.find(drain.instance);
    if (found == state.instances.end())
        return rejection::NameUnknown;
    instance_record& instance = found->second;
    if (const rejection reason = checkLeaving(state, instance, drain.knownDown); reason != rejection::None)
        return reason;
    const auto allowance = maintenanceAllowance(state);
    const auto inMaintenance = availabilityOf(state, instance.pool, drain.knownDown).inMaintenance;
    if (allowance && inMaintenance >= allowance->value)
        return rejection::MaintenanceFull;
    instance.inMaintenance = true;
    return rejection::None;
}

rejection applyCommand(fleet_state& state, const return_instance& back)
{
    const auto found = state.instances.find(back.instance);
    if (found == state.instances.end())
        return rejection::NameUnknown;
    if (!found->second.inMaintenance)
        return rejection::WrongPhase;
    found->second.inMaintenance = false;
    return rejection::None;
}

}
