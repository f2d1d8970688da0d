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
    Common::millis run { 5 };
    Common::millis length { 5000 };
};

/// Prints requests a second and response times through the daemons, and of the same load sent straight
/// to the workers, by turns.
void runLatency(const latency_options&);

}
