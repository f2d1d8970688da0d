#include "ControlPlane/StartupOrder.h"

namespace ControlPlane {

namespace {

    /// A leader that is active stores something more often than that, so it hasn't just been restarted, too.
    constexpr Common::millis activeLeaderTime { 600 };
    /// Longest time that an instance waits for a leader.
    constexpr Common::millis maxLeaderWait { 2000 };
    /// Time over which the instances with less room are spread.
    constexpr Common::millis spreadTime { 3000 };

}

bool mayReadJobs(const job_reading_view& view)
{
    if (!view.isProgressRead)
        return view.waited >= maxLeaderWait;
    if (!view.leader || view.own >= *view.leader)
        return true;
    if (view.leaderSeenAfter && *view.leaderSeenAfter <= activeLeaderTime)
        return true;
    const Common::millis ownDelay { static_cast<std::int64_t>(view.turn * static_cast<double>(spreadTime.count())) };
    return view.waited >= view.leaderSeenAfter.value_or(maxLeaderWait) + ownDelay;
}

}
