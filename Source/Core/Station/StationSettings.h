#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <optional>
#include <string>

/// The daemon on an entry instance: listeners, followers of the store, and the holder's seat.
namespace Station {

/// What one entry instance needs to know of its surroundings.
struct station_settings {
    /// Name of the instance.
    std::string node;
    Common::endpoint callers;
    Common::endpoint readiness;
    /// Where counters are shown; empty for nowhere.
    std::optional<Common::endpoint> metrics;
    Common::endpoint store;
    /// Manager of the instances; empty when there is none.
    std::optional<Common::endpoint> instanceManager;
    /// Time between the signal to stop and the end.
    Common::millis stopGrace { 6000 };
    /// Longest time in which a worker carries out a stop.
    Common::millis stopTime { 200 };
};

}
