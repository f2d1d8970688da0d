#pragma once

#include "Fleet/FleetState.h"

/// Availability budgets of client accounts.
namespace Fleet {

/// Availability of one pool as the books and the named failures have it.
struct pool_availability {
    std::int64_t total { 0 };
    std::int64_t available { 0 };
    std::int64_t inMaintenance { 0 };
};

pool_availability availabilityOf(
    const fleet_state&, const Common::pool_id&, const std::vector<Common::instance_id>& knownDown);

/// Part of a pool that must stay available: the strictest value that any account states.
Common::percent requiredAvailability(const fleet_state&);

/// Instances of one pool that may be in maintenance at once, by the strictest account.
std::optional<Common::slot_count> maintenanceAllowance(const fleet_state&);

/// Whether a pool with one available instance fewer still meets every budget.
bool canLoseOne(const fleet_state&, const pool_availability&);

}
