#pragma once

#include "Fleet/FleetState.h"

/// Rules for account templates, queues and keys.
namespace Fleet {

/// Maximum sum of the shares of all teams, in hundredths of a per cent.
constexpr Common::share_weight wholeShare { 10'000 };
constexpr Common::slot_count highestUpperLimit { 1'000'000 };

/// Sets `currentRevision` to the account's revision, for callers whose expected revision is outdated.
rejection applyCommand(
    fleet_state&, const publish_template&, operator_role, Common::revision_number& currentRevision);
rejection applyCommand(fleet_state&, const define_queue&);
rejection applyCommand(fleet_state&, const grant_key&);
rejection applyCommand(fleet_state&, const withdraw_key&);

}
