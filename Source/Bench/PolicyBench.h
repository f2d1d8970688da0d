#pragma once

#include <cstdint>

namespace Bench {

/// Prints, for both deployments, the project's policy beside the even split on the same load.
void runPolicyBench(std::uint64_t seed);

}
