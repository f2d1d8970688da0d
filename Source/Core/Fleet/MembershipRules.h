#pragma once

#include "Fleet/FleetState.h"

/// Rules for membership and shard commands.
namespace Fleet {

/// Whether the votes of `backers` are a majority of the members that are neither gone nor excluded.
/// True if there is no such member.
bool hasMajority(const fleet_state&, const std::vector<Common::process_id>& backers,
    const std::vector<Common::process_id>& gone, const Common::process_id& excluded);

rejection applyCommand(fleet_state&, const join_member&, Common::log_offset);
rejection applyCommand(fleet_state&, const renew_member&, Common::log_offset);
rejection applyCommand(fleet_state&, const retire_member&);
rejection applyCommand(fleet_state&, const leave_member&);
rejection applyCommand(fleet_state&, const expire_member&);
rejection applyCommand(fleet_state&, const claim_shard&, Common::log_offset);
rejection applyCommand(fleet_state&, const release_shard&);

}
