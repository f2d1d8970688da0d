#pragma once

#include "Fleet/FleetState.h"

/// Rules for instances, pools, moves, maintenance and failure domains.
namespace Fleet {

rejection applyCommand(fleet_state&, const set_zone&);
rejection applyCommand(fleet_state&, const place_instance&);
rejection applyCommand(fleet_state&, const begin_move&);
rejection applyCommand(fleet_state&, const release_instance&);
rejection applyCommand(fleet_state&, const join_pool&);
rejection applyCommand(fleet_state&, const drain_instance&);
rejection applyCommand(fleet_state&, const return_instance&);

}
