#pragma once

#include "Fleet/FleetState.h"
#include "Membership/LeaseTracker.h"

#include <vector>

namespace Membership {

/// Member that should hold the shard by rendezvous hashing, among those that aren't retiring. Empty if there is none.
Common::process_id preferredHolder(const Fleet::fleet_state&, const Common::shard_id&);

/// Shards without a holder that `self` should claim.
std::vector<Common::shard_id> shardsToClaim(const Fleet::fleet_state&, const Common::process_id& self);

/// Shards that `self` holds and should release for another member: all if it is retiring, otherwise those with
/// another preferred holder that has been a member for `settle`.
std::vector<Common::shard_id> shardsToRelease(const Fleet::fleet_state&, const Common::process_id& self,
    const lease_tracker&, const timing&, Common::instant now);

}
