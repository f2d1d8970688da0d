#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Ids.h"
#include "Dispatch/WorkerState.h"

#include <optional>
#include <string>

/// The daemon on an entry instance: listeners, followers of the store, and the holder's seat.
namespace Station {

/// What one entry instance needs to know of its surroundings.
struct station_settings {
    /// Name of the instance.
    std::string node;
    Common::data_centre_id dataCentre;
    Common::endpoint callers;
    Common::endpoint readiness;
    /// Where counters are shown; empty for nowhere.
    std::optional<Common::endpoint> metrics;
    Common::endpoint store;
    /// Service that says which workers may run a step; empty when there is none.
    std::optional<Common::endpoint> advice;
    /// Manager of the instances; empty when there is none.
    std::optional<Common::endpoint> instanceManager;
    /// Time between the signal to stop and the end.
    Common::millis stopGrace { 6000 };
    /// Longest time in which a worker carries out a stop.
    Common::millis stopTime { 200 };
    /// Shortest time to live of a member of a group that the store takes.
    Common::millis shortestMembership { 1000 };
    /// How long the state of a job that is over is kept.
    Common::millis stateRetention { 120000 };
    /// A lasting task counts as away when it isn't at work for this time.
    Common::millis disruptionNotice { 4500 };
    Common::millis moveTime { 1500 };
};

}
