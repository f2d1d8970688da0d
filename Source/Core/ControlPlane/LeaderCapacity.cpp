#include "ControlPlane/LeaderCapacity.h"

#include <algorithm>

namespace ControlPlane {

namespace {

    /// Candidates with at least this much are alike.
    constexpr Common::millicores sufficientProcessor { 500 };
    constexpr megabits_per_second sufficientLink { 100 };
    constexpr leader_room sufficientRoom { 1000 };
    /// Candidates notice a vacancy up to 0.25 s apart: one read interval and one check.
    constexpr Common::millis maxClaimDelay { 500 };

}

leader_room roomOf(const instance_capacity& capacity)
{
    const auto processor = capacity.processor.value * sufficientRoom.value / sufficientProcessor.value;
    const auto link = capacity.link.value * sufficientRoom.value / sufficientLink.value;
    return { std::clamp<std::int64_t>(std::min(processor, link), 0, sufficientRoom.value) };
}

Common::millis claimDelay(leader_room own, leader_room reference)
{
    if (own >= reference)
        return Common::millis(0);
    return maxClaimDelay * (reference.value - own.value) / reference.value;
}

}
