#pragma once

#include "ControlPlane/LeaderCapacity.h"

#include <optional>

namespace ControlPlane {

/// What an instance that has just started knows about leadership.
struct job_reading_view {
    leader_room own;
    /// Room of the newest leader. Empty before the progress has been read, or if there has been no leader.
    std::optional<leader_room> leader;
    bool isProgressRead { false };
    /// Time from the start of this instance until a leader stored something. Empty if none has yet.
    std::optional<Common::millis> leaderSeenAfter;
    /// Time since the start of this instance.
    Common::millis waited { 0 };
    /// This instance's place in the order of those that have less room, from 0 to 1.
    double turn { 0 };
};

/// Whether an instance that has just started may begin to read the jobs. The pattern of load that it answers: all instances
/// are restarted at the same time, and each reads all jobs, which takes the store seconds. Only an instance that has read
/// them can lead, so those with the room of the last leader read first. The others begin when one leads, in turn unless
/// it has been leading all the time.
bool mayReadJobs(const job_reading_view&);

}
