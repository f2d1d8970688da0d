#include "Pool/WorkerRegistry.h"

#include <catch2/catch.hpp>

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Requests::resources oneCore { .cores = { 1 } };

Pool::worker_info workerNamed(const std::string& name, bool open = true)
{
    return { .instance = { name }, .capacity = { .cores = { 16 }, .memory = { 1000 } }, .slots = { 2 }, .open = open };
}

void reportAll(Pool::worker_registry& registry, const std::vector<std::string>& names)
{
    for (const auto& name : names)
        registry.onReport({ name }, { .cores = { 0 } }, {}, false);
}

}

TEST_CASE("Tasks go to workers that have room")
{
    Pool::worker_registry registry;
    registry.setWorkers({ workerNamed("w1"), workerNamed("w2"), workerNamed("w3") });

    SECTION("a worker that hasn't reported yet gets no task")
    {
        CHECK_FALSE(registry.choose(oneCore, true, {}, start));
    }
    reportAll(registry, { "w1", "w2", "w3" });

    SECTION("the slots of a worker are never exceeded, tasks of others included")
    {
        registry.onReport({ "w1" }, { .cores = { 1 } }, { 1 }, false);
        int placed = 0;
        while (const auto worker = registry.choose(oneCore, true, {}, start)) {
            registry.allocate(*worker, oneCore);
            ++placed;
        }
        CHECK(placed == 5);
    }
    SECTION("the memory of a worker is never exceeded")
    {
        const Requests::resources large { .cores = { 1 }, .memory = { 600 } };
        for (int count = 0; count < 3; ++count)
            registry.allocate(*registry.choose(large, true, {}, start), large);
        CHECK_FALSE(registry.choose(large, true, {}, start));
        CHECK_FALSE(registry.fitsAnyWorker({ .cores = { 17 } }));
    }
    SECTION("a leaving, unresponsive or closed worker gets no task")
    {
        registry.onReport({ "w1" }, { .cores = { 0 } }, {}, true);
        registry.onSilent({ "w2" });
        registry.setWorkers({ workerNamed("w1"), workerNamed("w2"), workerNamed("w3", false) });
        CHECK_FALSE(registry.choose(oneCore, true, {}, start));
    }
    SECTION("a worker that fails different jobs is ejected, and probed with idempotent work only")
    {
        for (const char* job : { "a", "b", "c", "d" })
            registry.onResult({ "w1" }, job, true, start);
        REQUIRE(registry.isEjected({ "w1" }));
        CHECK_FALSE(registry.choose(oneCore, true, { { "w2" }, { "w3" } }, start));
        const auto later = start + std::chrono::seconds(5);
        CHECK_FALSE(registry.choose(oneCore, false, { { "w2" }, { "w3" } }, later));
        CHECK(registry.choose(oneCore, true, { { "w2" }, { "w3" } }, later));
        registry.onResult({ "w1" }, "probe", false, later);
        CHECK_FALSE(registry.isEjected({ "w1" }));
    }
    SECTION("one faulty job ejects no worker, and failures on all workers eject at most a third of the pool")
    {
        for (int count = 0; count < 8; ++count)
            registry.onResult({ "w2" }, "same", true, start);
        CHECK_FALSE(registry.isEjected({ "w2" }));
        for (const char* worker : { "w1", "w2", "w3" }) {
            for (const char* job : { "a", "b", "c", "d", "e", "f", "g", "h" })
                registry.onResult({ worker }, job, true, start);
        }
        const int ejected = registry.isEjected({ "w1" }) + registry.isEjected({ "w2" }) + registry.isEjected({ "w3" });
        CHECK(ejected == 1);
    }
}
