#include "Fleet/Budgets.h"

#include <algorithm>

namespace Fleet {

namespace {

    constexpr std::int64_t wholePercent = 100;

    void raiseToAtLeast(Common::percent& required, const std::optional<Common::percent>& value)
    {
        if (value)
            required = std::max(required, *value);
    }

}

pool_availability availabilityOf(
    const fleet_state& state, const Common::pool_id& pool, const std::vector<Common::instance_id>& knownDown)
{
    pool_availability result;
    for (const auto& [name, instance] : state.instances) {
        if (instance.pool != pool)
            continue;
        const bool down = std::ranges::find(knownDown, name) != knownDown.end();
        ++result.total;
        result.available += isOpenForWork(state, instance) && !down ? 1 : 0;
        result.inMaintenance += instance.inMaintenance ? 1 : 0;
    }
    return result;
}

Common::percent requiredAvailability(const fleet_state& state)
{
    Common::percent required;
    for (const auto& [name, account] : state.accounts) {
        raiseToAtLeast(required, account.productManager.minAvailable);
        raiseToAtLeast(required, account.operationsLead.minAvailable);
    }
    return required;
}

std::optional<Common::slot_count> maintenanceAllowance(const fleet_state& state)
{
    std::optional<Common::slot_count> allowance;
    for (const auto& [name, account] : state.accounts) {
        const auto& value = account.operationsLead.maxInMaintenance;
        if (value && (!allowance || *value < *allowance))
            allowance = value;
    }
    return allowance;
}

bool canLoseOne(const fleet_state& state, const pool_availability& pool)
{
    return (pool.available - 1) * wholePercent >= requiredAvailability(state).value * pool.total;
}

}
