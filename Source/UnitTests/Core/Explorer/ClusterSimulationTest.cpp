#include "ClusterSimulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

/// Seeds in CI; LOFT_EXPLORER_SEEDS sets another number, LOFT_EXPLORER_FIRST the first seed.
constexpr std::uint64_t defaultSeeds = 80;

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

}

namespace {

constexpr ControlPlane::instance_capacity largeCapacity { .processor = { 500 }, .link = { 200 } };
constexpr ControlPlane::instance_capacity smallCapacity { .processor = { 120 }, .link = { 10 } };

}

TEST_CASE("Under random faults among instances of different capacity, no task runs twice, and a large one leads at the end", "[explorer]")
{
    const auto first = numberFrom("LOFT_EXPLORER_FIRST", 1);
    const auto seeds = numberFrom("LOFT_EXPLORER_SEEDS", defaultSeeds);
    int handovers = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        cluster_simulation simulation(
            { .seed = seed, .nodes = 4, .capacities = { smallCapacity, largeCapacity, smallCapacity, largeCapacity } });
        const auto violation = simulation.run();
        INFO("LOFT_EXPLORER_FIRST=" << seed << " LOFT_EXPLORER_SEEDS=1");
        CHECK(violation == std::string());
        const auto leader = simulation.lastClaimer();
        REQUIRE(leader);
        CHECK(simulation.capacityOf(*leader) == largeCapacity);
        handovers += simulation.handovers();
    }
    CHECK(handovers > 0);
    WARN(handovers << " handovers");
}

TEST_CASE("Under random faults no task runs twice and each job completes", "[explorer]")
{
    const auto first = numberFrom("LOFT_EXPLORER_FIRST", 1);
    const auto seeds = numberFrom("LOFT_EXPLORER_SEEDS", defaultSeeds);
    std::size_t steps = 0;
    int takeovers = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        cluster_simulation simulation({ .seed = seed });
        const auto violation = simulation.run();
        INFO("LOFT_EXPLORER_FIRST=" << seed << " LOFT_EXPLORER_SEEDS=1");
        CHECK(violation.empty());
        if (!violation.empty())
            UNSCOPED_INFO(violation);
        CHECK(violation == std::string());
        steps += simulation.steps();
        takeovers += simulation.takeovers();
    }
    CHECK(steps > seeds * 1000);
    CHECK(takeovers > static_cast<int>(seeds));
    WARN(steps << " steps, " << takeovers << " leadership claims");
}
