#pragma once

#include "Fleet/FleetState.h"

/// Rules for queued work and for requests that run at most once.
namespace Fleet {

/// How long the outcome of a finished request is kept, by the timestamps in the log.
constexpr Common::wall_millis outcomeRetention { 48LL * 60 * 60 * 1000 };

/// Team that the key belongs to. Empty for an unknown or withdrawn key.
std::optional<Common::team_id> teamOfKey(const fleet_state&, const Common::key_hash&);

rejection applyCommand(fleet_state&, const accept_work&, Common::log_offset);
rejection applyCommand(fleet_state&, const intend_work&, Common::log_offset);
rejection applyCommand(fleet_state&, const finish_work&);
rejection applyCommand(fleet_state&, const cancel_work&);

/// Removes finished requests whose outcomes are older than `outcomeRetention`.
void dropOldOutcomes(fleet_state&);

}
