#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <string>
#include <vector>

namespace Bench {

struct latency_options {
    std::vector<Common::endpoint> callers;
    std::vector<Common::endpoint> workers;
    std::string key;
    std::string queue;
    int threads { 16 };
    /// Run time of each task.
    Common::millis taskRunTime { 5 };
    /// Duration of each measurement.
    Common::millis duration { 5000 };
};

/// Sends the same load alternately through the daemons and directly to the workers; prints requests per second and
/// response times of both.
void runLatency(const latency_options&);

}
