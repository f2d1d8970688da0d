#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace {

constexpr int workerCount = 200;
constexpr int jobCount = 1000;
/// Jobs whose tasks fill the pool, at most.
constexpr int runningJobs = 3;

/// Fills a pool of workers of 8 cores with two tasks of 4 cores each, and answers their starts.
void fillPool(dispatcher_fixture& f)
{
    for (int index = 0; index < workerCount; ++index)
        f.dispatcher.workerRegistered(f.worker("w" + std::to_string(1000 + index)), f.now, f.now);
    for (const auto& poll : f.plan().polls)
        f.answerPoll(poll);
    f.add(f.job("running", { f.step(2 * workerCount, 4000) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 2 * workerCount);
    for (const auto& start : starts)
        f.accept(start);
}

}

TEST_CASE("A backlog in a full pool doesn't multiply the work of a planning pass by the number of workers", "[dispatch]")
{
    dispatcher_fixture f;
    fillPool(f);

    SECTION("of jobs that are all alike")
    {
        for (int index = 0; index < jobCount; ++index)
            f.add(f.job("job" + std::to_string(index), { f.step(4) }));
    }
    SECTION("of jobs of many sizes, with limits per worker, gangs and steps that are packed")
    {
        for (int index = 0; index < jobCount; ++index) {
            auto step = f.step(4, 500 + index % 37 * 100);
            step.request.memory = { 10 + index % 23 };
            step.maxPerWorker = index % 3;
            step.isGang = index % 5 == 0;
            step.isLongRunning = index % 7 == 0;
            f.add(f.job("job" + std::to_string(index), { step }));
        }
    }
    SECTION("of jobs for which only memory is missing")
    {
        f.join(f.worker("w9", 8000));
        f.add(f.job("large", { f.step(1, 1) }));
        auto most = f.step(1, 1);
        most.request.memory = { 99980 };
        f.add(f.job("most", { most }));
        f.plan();
        for (int index = 0; index < jobCount; ++index) {
            auto step = f.step(4, 500 + index % 37 * 100);
            step.request.memory = { 99900 };
            f.add(f.job("job" + std::to_string(index), { step }));
        }
    }
    const auto starts = f.turn().starts;
    CHECK(starts.empty());
    CHECK(f.dispatcher.lastPlan().jobsExamined <= jobCount + runningJobs);
    CHECK(f.dispatcher.lastPlan().workersExamined <= 2 * (workerCount + jobCount));
}
