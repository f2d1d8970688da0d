#pragma once

#include "Fleet/FleetState.h"

/// Availability budgets of client accounts.
namespace Fleet {

/// Availability of one pool by the fleet state and the instances known to be down.
struct pool_availability {
    std::int64_t total { 0 };
    std::int64_t available { 0 };
    std::int64_t inMaintenance { 0 };
};

pool_availability availabilityOf(
    const fleet_state&, const Common::pool_id&, const std::vector<Common::instance_id>& knownDown);

/// Percentage of a pool that must stay available: the highest value that any account sets.
Common::percent requiredAvailability(const fleet_state&);

/// Maximum number of instances of one pool in maintenance at once: the lowest value that any account
/// sets. Empty when no account sets one.
std::optional<Common::slot_count> maintenanceAllowance(const fleet_state&);

/// Whether a pool with one available instance fewer still meets every budget.
bool canLoseOne(const fleet_state&, const pool_availability&);

}
