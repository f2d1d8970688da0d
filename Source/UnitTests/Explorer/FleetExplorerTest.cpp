#include "Explorer/FleetExplorer.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

int numberFromEnvironment(const char* name, int fallback)
{
    const char* const text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
}

std::string describe(std::uint64_t seed, const Explorer::explorer_result& result)
{
    std::string text = "seed " + std::to_string(seed) + ", step " + std::to_string(result.steps) + ": " + result.violation;
    for (const auto& line : result.trace)
        text += "\n  " + line;
    return text;
}

}

TEST_CASE("Invariants hold under daemon crashes, pauses, lost log connections and log outages, and the fleet recovers")
{
    // Defaults are those of CI; LOFT_EXPLORER_SEEDS and LOFT_EXPLORER_FIRST select other seeds.
    const int seeds = numberFromEnvironment("LOFT_EXPLORER_SEEDS", 120);
    const int first = numberFromEnvironment("LOFT_EXPLORER_FIRST", 1);
    Explorer::explorer_result shortest;
    std::uint64_t shortestSeed = 0;
    std::int64_t steps = 0;
    std::int64_t tasks = 0;
    std::int64_t removals = 0;
    std::int64_t outageStarts = 0;
    int failures = 0;
    for (int index = 0; index < seeds; ++index) {
        const auto seed = static_cast<std::uint64_t>(first + index);
        const int daemons = 2 + static_cast<int>(seed % 5);
        const auto result = Explorer::exploreFleet({ .seed = seed, .daemons = daemons, .steps = 2000 });
        steps += result.steps;
        tasks += result.tasksStarted;
        removals += result.removals;
        outageStarts += result.outageStarts;
        if (result.violation.empty())
            continue;
        ++failures;
        if (shortestSeed != 0 && result.steps >= shortest.steps)
            continue;
        shortest = result;
        shortestSeed = seed;
    }
    INFO(describe(shortestSeed, shortest));
    INFO(failures << " of " << seeds << " seeds failed; " << steps << " steps, " << tasks << " tasks, " << removals
                  << " removals requested, " << outageStarts << " tasks started while the log was down");
    CHECK(failures == 0);
    // Fails if the runs did too little to test the invariants.
    CHECK(tasks > steps / 20);
    CHECK(removals > seeds);
    CHECK(outageStarts > seeds);
}
