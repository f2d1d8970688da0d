#pragma once

#include "Common/Clock.h"

namespace ControlPlane {

using megabits_per_second = Common::quantity<struct megabits_per_second_tag>;

/// What an instance can use. The defaults stand for an instance that doesn't say it.
struct instance_capacity {
    Common::millicores processor { 1000 };
    megabits_per_second link { 1000 };

    friend bool operator==(const instance_capacity&, const instance_capacity&) = default;
};

/// Room for the leader's work, in thousandths of what any leader needs. More than that counts as just enough.
using leader_room = Common::quantity<struct leader_room_tag>;

/// The scarcer of processor and link decides.
leader_room roomOf(const instance_capacity&);

/// How long a candidate leaves a vacant leadership to candidates with more room. Falls as its room rises; zero with
/// the room of `reference` or more.
Common::millis claimDelay(leader_room own, leader_room reference);

}
