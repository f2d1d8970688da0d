#include "Dispatch/StepState.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using Dispatch::step_state;
using Dispatch::task_phase;

TEST_CASE("A step that keeps only tasks with a history behaves like one that keeps all", "[step]")
{
    std::mt19937 random(20261207);
    const auto upTo = [&random](int limit) { return std::uniform_int_distribution(0, limit)(random); };
    for (int round = 0; round < 60; ++round) {
        const int count = 1 + upTo(40);
        step_state step(count);
        std::vector<task_phase> phases(static_cast<std::size_t>(count), task_phase::Waiting);
        for (int change = 0; change < 120; ++change) {
            const int index = upTo(count - 1);
            auto& phase = phases[static_cast<std::size_t>(index)];
            CAPTURE(round, change, index);
            if (phase == task_phase::Waiting && upTo(2) > 0) {
                REQUIRE(step.track(index, { 7 }).lastRun.value == 7);
                step.place(index);
                phase = task_phase::Placed;
            } else if (phase == task_phase::Placed && upTo(1) > 0) {
                step.release(index);
                phase = task_phase::Waiting;
            } else if (phase != task_phase::Done) {
                step.finish(index);
                phase = task_phase::Done;
            }
            const auto is = [&phases](task_phase wanted) {
                return static_cast<int>(std::count(phases.begin(), phases.end(), wanted));
            };
            REQUIRE(step.done() == is(task_phase::Done));
            REQUIRE(step.placed() == is(task_phase::Placed));
            REQUIRE(step.waiting() == is(task_phase::Waiting));
            const int from = upTo(count - 1);
            const auto next = std::find(phases.begin() + from, phases.end(), task_phase::Waiting);
            const auto expected
                = next == phases.end() ? std::nullopt : std::optional(static_cast<int>(next - phases.begin()));
            REQUIRE(step.nextWaiting(from) == expected);
            for (int each = 0; each < count; ++each)
                REQUIRE(step.isTaskDone(each) == (phases[static_cast<std::size_t>(each)] == task_phase::Done));
        }
    }
}

TEST_CASE("Tasks that are done, or haven't been started, aren't kept", "[step]")
{
    step_state step(4000);
    for (int index = 0; index < 3000; ++index) {
        step.track(index, {});
        step.place(index);
        if (index >= 10)
            step.finish(index - 10);
    }
    CHECK(step.tracked().size() == 10);
    CHECK(step.nextWaiting(0) == 3000);
}
