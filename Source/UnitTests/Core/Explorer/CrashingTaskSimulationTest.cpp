#include "ClusterSimulation.h"
#include "ExplorerSeeds.h"

#include <catch2/catch.hpp>

namespace {

/// Seeds of each section in CI.
constexpr std::uint64_t defaultSeeds = 40;
/// Average number of steps between two faults.
constexpr int rareFaults = 100;

struct exploration_result {
    int crashes { 0 };
    int crashingTasks { 0 };
    int checkedStarts { 0 };
};

exploration_result explore(simulation_options options)
{
    const explorer_seeds seeds(defaultSeeds);
    exploration_result result;
    for (auto seed = seeds.first; seed < seeds.end(); ++seed) {
        options.seed = seed;
        cluster_simulation simulation(options);
        const auto violation = simulation.run();
        INFO("LOFT_EXPLORER_FIRST=" << seed << " LOFT_EXPLORER_SEEDS=1");
        CHECK(violation == std::string());
        result.crashes += simulation.crashes().crashCount();
        result.crashingTasks += simulation.crashes().crashingTaskCount();
        result.checkedStarts += simulation.checkedStarts();
    }
    return result;
}

void exploreCrashes(const simulation_options& options)
{
    const auto result = explore(options);
    CHECK(result.crashingTasks > 0);
    CHECK(result.crashes >= result.crashingTasks);
    WARN(result.crashingTasks << " crashing tasks, " << result.crashes << " crashes");
}

void exploreCapacities(const simulation_options& options)
{
    const auto result = explore(options);
    CHECK(result.checkedStarts > 0);
    WARN(result.checkedStarts << " starts checked");
}

}

TEST_CASE("A task that crashes its workers is given up, and all other jobs complete", "[explorer][crash-faults]")
{
    SECTION("without other faults, few such jobs")
    {
        exploreCrashes({ .stepsPerFault = 0, .crashingJobs = { 5 } });
    }
    SECTION("without other faults, among tasks that last")
    {
        exploreCrashes({ .workers = 8, .stepsPerFault = 0, .crashingJobs = { 10 }, .longRunningJobs = { 5 } });
    }
    SECTION("without other faults, many such jobs")
    {
        exploreCrashes({ .workers = 8, .stepsPerFault = 0, .crashingJobs = { 20 } });
    }
    SECTION("under rare other faults")
    {
        exploreCrashes({ .stepsPerFault = rareFaults, .crashingJobs = { 5 } });
    }
    SECTION("under frequent other faults")
    {
        exploreCrashes({ .recoveryTime = Common::millis(60000), .crashingJobs = { 5 } });
    }
}

TEST_CASE("No start brings a worker over its capacity while that shrinks and grows", "[explorer]")
{
    // The rule allows for the time that a report takes; the newest one is the stricter limit.
    exploreCapacities({ .recoveryTime = Common::millis(90000), .stepsPerFault = 0, .doesCapacityVary = true });
}

TEST_CASE("The record of crashes says which starts and ends are violations", "[explorer]")
{
    crash_record record;
    const Jobs::task_name crashing { .job = { "j1" } };
    const Jobs::task_name other { .job = { "j2" } };
    const auto crashUnder = [&record](const Jobs::task_name& task, int count) {
        for (int index = 0; index < count; ++index)
            record.wasLost(task);
    };
    record.addCrashingTask(crashing);

    SECTION("a third start after three crashes")
    {
        for (int crash = 0; crash < 3; ++crash) {
            CHECK(record.started(crashing, "start").empty());
            record.causedCrash(crashing);
        }
        CHECK(record.started(crashing, "start").empty());
        CHECK(record.started(crashing, "start").empty());
        CHECK(record.started(crashing, "j1.0.0") == "j1.0.0 is start 3 after 3 workers had crashed under it");
    }
    SECTION("a crashing task's job that isn't failed")
    {
        CHECK(record.checkEnd(crashing.job, Jobs::job_state::Running)
            == "job j1 isn't failed, although 0 workers crashed under its task j1.0.0");
    }
    SECTION("a crashing task's job that is failed after one crash")
    {
        record.wasLost(crashing);
        CHECK_FALSE(record.checkEnd(crashing.job, Jobs::job_state::Failed).empty());
        record.wasLost(crashing);
        CHECK(record.checkEnd(crashing.job, Jobs::job_state::Failed).empty());
    }
    SECTION("another job that isn't completed")
    {
        CHECK(record.checkEnd(other.job, Jobs::job_state::Completed).empty());
        CHECK(record.checkEnd(other.job, Jobs::job_state::Running) == "job j2 isn't completed");
    }
    SECTION("another job that is failed")
    {
        crashUnder(other, 1);
        CHECK(record.checkEnd(other.job, Jobs::job_state::Failed)
            == "job j2 is failed too soon; workers that crashed under one of its tasks: 1");
    }
    SECTION("another job may fail after two crashes under one of its tasks")
    {
        crashUnder(other, 1);
        CHECK_FALSE(record.checkEnd(other.job, Jobs::job_state::Failed).empty());
        crashUnder(other, 1);
        CHECK(record.checkEnd(other.job, Jobs::job_state::Failed).empty());
    }
}
