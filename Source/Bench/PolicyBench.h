#pragma once

#include <cstdint>

namespace Bench {

/// Compares the project's policy with the even split under the same load, for both deployments, and prints a table.
void runPolicyBench(std::uint64_t seed);

}
