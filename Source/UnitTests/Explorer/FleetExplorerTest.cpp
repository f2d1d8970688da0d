#include "Explorer/FleetExplorer.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

int numberFromEnvironment(const char* name, int otherwise)
{
    const char* const text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

std::string describe(std::uint64_t seed, const Explorer::explorer_result& result)
{
    std::string text = "seed " + std::to_string(seed) + ", step " + std::to_string(result.steps) + ": " + result.violation;
    for (const auto& line : result.trace)
        text += "\n  " + line;
    return text;
}

}

TEST_CASE("Daemons under kills, cuts, freezes and log outages keep every promise and recover")
{
    // LOFT_EXPLORER_SEEDS and LOFT_EXPLORER_FIRST look further than CI does.
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
                  << " removals asked, " << outageStarts << " tasks started while the log was down");
    CHECK(failures == 0);
    // A run in which nothing happened proves nothing.
    CHECK(tasks > steps / 20);
    CHECK(removals > seeds);
    CHECK(outageStarts > seeds);
}
