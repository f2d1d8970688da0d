#include "Jobs/JobRegistry.h"

#include <catch2/catch.hpp>

TEST_CASE("The progress of a job is divided by its steps only, and each task is in one part", "[jobs]")
{
    Jobs::job_spec spec { .steps = { { .count = 300 }, { .count = 1 }, { .count = 700 } } };
    SECTION("a job that fits one part has one")
    {
        spec.steps = { { .count = 200 }, { .count = 56 } };
        CHECK(Jobs::progress_division(spec).partCount() == 1);
    }
    SECTION("steps and occurrences follow each other")
    {
        spec.repetitions = 3;
        const Jobs::progress_division division(spec);
        CHECK(division.partCount() == 12);
        CHECK(division.partOf({ .index = 255 }) == 0);
        CHECK(division.partOf({ .index = 256 }) == 1);
        CHECK(division.partOf({ .step = 2, .index = 0 }) == 1);
        CHECK(division.partOf({ .step = 2, .index = 699 }) == 3);
        CHECK(division.partOf({ .occurrence = 2, .step = 2, .index = 699 }) == 11);
    }
    SECTION("the ranges of all parts are all tasks, in their order, each in the part that it belongs to")
    {
        auto repeated = spec;
        repeated.repetitions = 3;
        const Jobs::progress_division division(repeated);
        std::vector<std::tuple<int, int, int>> listed;
        for (int part = 0; part < division.partCount(); ++part) {
            for (const auto& range : division.rangesOf(part)) {
                for (int index = range.first; index < range.last; ++index) {
                    listed.emplace_back(range.occurrence, range.step, index);
                    REQUIRE(division.partOf({ .occurrence = range.occurrence, .step = range.step, .index = index }) == part);
                }
            }
        }
        std::vector<std::tuple<int, int, int>> expected;
        for (int occurrence = 0; occurrence < 3; ++occurrence) {
            for (std::size_t step = 0; step < repeated.steps.size(); ++step) {
                for (int index = 0; index < repeated.steps[step].count; ++index)
                    expected.emplace_back(occurrence, static_cast<int>(step), index);
            }
        }
        CHECK(listed == expected);
    }
    SECTION("the registry puts the parts together, in the order of their numbers")
    {
        const Jobs::progress_division division(spec);
        Jobs::job_progress progress { .job = { "j" }, .state = Jobs::job_state::Running };
        for (int index = 0; index < 700; index += 3)
            progress.tasks.push_back({ .step = 2, .index = index, .isDone = index % 2 == 0, .run = index });
        std::vector<std::vector<Jobs::task_progress>> parts(static_cast<std::size_t>(division.partCount()));
        for (const auto& task : progress.tasks)
            parts.at(static_cast<std::size_t>(division.partOf(task))).push_back(task);
        Jobs::job_registry registry;
        registry.accept({ .id = { "j" }, .spec = spec });
        for (int number = division.partCount() - 1; number >= 0; --number)
            registry.advance({ .job = { "j" },
                .state = Jobs::job_state::Running,
                .part = number,
                .tasks = parts[static_cast<std::size_t>(number)] });
        CHECK(registry.progressOf({ "j" }) == progress);
        registry.advance({ .job = { "j" }, .state = Jobs::job_state::Completed });
        registry.advance({ .job = { "j" }, .part = 1, .tasks = parts[1] });
        CHECK(registry.progressOf({ "j" }).tasks.empty());
    }
}
