#include "Jobs/JobCodec.h"
#include "Jobs/JobRegistry.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>

using Jobs::job_state;

namespace {

Jobs::job_record someJob(const std::string& id = "0123456789abcdef")
{
    Jobs::step_spec first { .count = 3,
        .request = { .processor = { 500 }, .memory = { 256 } },
        .estimate = Common::millis(900),
        .dataRack = { "r1" } };
    Jobs::step_spec second { .count = 2,
        .request = { .processor = { 2000 }, .memory = { 1024 }, .accelerators = { 1 } },
        .dependsOn = { 0 },
        .savesCheckpoints = true,
        .maxPerWorker = 1,
        .isLongRunning = true,
        .image = "img",
        .latencyTarget = Common::millis(20),
        .disruptionBudget = 1 };
    return { .id = { id },
        .queue = { "q" },
        .team = { "t" },
        .acceptedAt = { 123456 },
        .spec = { .payload = "text \"quoted\" \xc3\xa4", .steps = { first, second }, .repetitions = 3, .firstStart = { 5000 }, .interval = Common::millis(2000) } };
}

}

TEST_CASE("Encoded jobs and progress decode to the same values", "[jobs]")
{
    const auto job = someJob();
    const auto read = Jobs::decodeJob(Jobs::encodeJob(job));
    REQUIRE(read);
    CHECK(read->spec == job.spec);
    CHECK(read->team == job.team);
    CHECK(read->acceptedAt == job.acceptedAt);

    const Jobs::job_progress progress { .job = job.id,
        .state = job_state::Running,
        .lanes = { 0 },
        .tasks = { { .occurrence = 1, .step = 0, .index = 2, .isDone = true },
            { .occurrence = 0, .step = 1, .index = 0, .failedRuns = { 1, 1001 }, .checkpoint = "c" },
            { .occurrence = 0, .step = 1, .index = 1, .worker = { "w" }, .run = 1002, .incarnation = { 1764900000000 } },
            { .occurrence = 0, .step = 1, .index = 2, .crashedRuns = { 2, 3 } } } };
    CHECK(Jobs::decodeProgress(job.id, Jobs::encodeProgress(progress)) == progress);
}

TEST_CASE("Random progress decodes to the same value", "[jobs]")
{
    std::mt19937 random(20261204);
    const auto upTo = [&random](int limit) { return std::uniform_int_distribution(0, limit)(random); };
    for (int round = 0; round < 2000; ++round) {
        Jobs::job_progress progress { .job = { upTo(1) == 0 ? "j" : "j@scope" },
            .state = static_cast<job_state>(upTo(4)),
            .lanes = { upTo(1) * upTo(9) } };
        if (upTo(3) == 0)
            progress.lanes.push_back(progress.lanes.back() + 1 + upTo(3));
        for (int count = upTo(40); count > 0; --count) {
            Jobs::task_progress task { .occurrence = upTo(1), .step = upTo(2), .index = upTo(9), .isDone = upTo(1) == 1 };
            // The next task of the step, as in the records of the dispatcher.
            if (!progress.tasks.empty() && upTo(2) > 0) {
                const auto& previous = progress.tasks.back();
                task.occurrence = previous.occurrence;
                task.step = previous.step;
                task.index = previous.index + 1;
            }
            if (!task.isDone) {
                for (int failures = upTo(3) - 1; failures > 0; --failures)
                    task.failedRuns.push_back(upTo(5000));
                for (int crashes = upTo(3) - 1; crashes > 0; --crashes)
                    task.crashedRuns.push_back(upTo(5000));
                task.checkpoint = std::string(static_cast<std::size_t>(upTo(1) * upTo(20)), 'c');
                if (upTo(2) > 0) {
                    task.worker.value = "worker-" + std::to_string(upTo(12));
                    task.incarnation.value = upTo(1) * (1764900000000 + upTo(2) * 700);
                }
                task.run = upTo(1) * (1000 + upTo(7000));
            }
            progress.tasks.push_back(task);
        }
        CAPTURE(round, Jobs::encodeProgress(progress));
        REQUIRE(Jobs::decodeProgress(progress.job, Jobs::encodeProgress(progress)) == progress);
    }
}

TEST_CASE("Progress of a job with many tasks is encoded in few bytes", "[jobs]")
{
    constexpr int tasks = 40;
    Jobs::job_progress progress { .job = { "j" }, .state = job_state::Running, .lanes = { 0 } };
    const auto add = [&progress](int index, int worker) {
        progress.tasks.push_back({ .index = index,
            .isDone = worker < 0,
            .worker = { worker < 0 ? "" : "i-0990000" + std::to_string(100 + worker) },
            .run = worker < 0 ? 0 : 12001 });
    };
    SECTION("all of them placed, each on its own worker")
    {
        for (int index = 0; index < tasks; ++index)
            add(index, index);
        CHECK(Jobs::encodeProgress(progress).size() < tasks * 27);
    }
    SECTION("all of them placed on four workers")
    {
        for (int index = 0; index < tasks; ++index)
            add(index, index % 4);
        CHECK(Jobs::encodeProgress(progress).size() < tasks * 12);
    }
    SECTION("all but the last one are done")
    {
        for (int index = 0; index + 1 < tasks; ++index)
            add(index, -1);
        add(tasks - 1, 3);
        CHECK(Jobs::encodeProgress(progress).size() < 80);
    }
    SECTION("the job is over")
    {
        CHECK(Jobs::encodeProgress({ .job = { "j" }, .state = job_state::Completed }).size() < 10);
    }
    CHECK(Jobs::decodeProgress(progress.job, Jobs::encodeProgress(progress)) == progress);
}

TEST_CASE("Progress that an earlier version stored is read", "[jobs]")
{
    const auto read = Jobs::decodeProgress(
        { "j" }, R"({"state":1,"tasks":[[0,1,17,[3],"c","w",1001],[0,0,2],[0,1,4,[],"","",0]]})");
    const Jobs::job_progress expected { .job = { "j" },
        .state = job_state::Running,
        .lanes = { 0 },
        .tasks = { { .occurrence = 0,
                       .step = 1,
                       .index = 17,
                       .failedRuns = { 3 },
                       .checkpoint = "c",
                       .worker = { "w" },
                       .run = 1001 },
            { .occurrence = 0, .step = 0, .index = 2, .isDone = true },
            { .occurrence = 0, .step = 1, .index = 4 } } };
    CHECK(read == expected);
}

TEST_CASE("Bytes that aren't a valid job or progress are rejected", "[jobs]")
{
    for (const auto* bytes : { "{}", "[]", R"({"s":5})", R"({"s":1,"steps":[[0]]})", R"({"s":1,"steps":[[0,0,[1]]]})",
             R"({"s":1,"steps":[[0,0,[3,1]]]})", R"({"s":1,"steps":[[0,0,[0,2000000000]]]})",
             R"({"s":1,"steps":[[0,0,[0,999999]]]})", R"({"s":1,"steps":[[0,0,[4294967296,4294967297]]]})",
             R"({"s":1,"steps":[[0,0,4294967296]]})", R"({"s":1,"steps":[[0,0,[-3,2]]]})",
             R"({"s":1,"steps":[[0,0,[0,1,0]]],"w":["a"],"r":1})", R"({"s":1,"steps":[[0,0,[0,-2,0]]],"w":["a"],"r":1})",
             R"({"s":1,"steps":[[0,0,[0,0,0]]],"w":["a"]})", R"({"s":1,"steps":[[0,0,"1"]]})" }) {
        CAPTURE(bytes);
        CHECK_FALSE(Jobs::decodeProgress({ "j" }, bytes));
    }
    CHECK_FALSE(Jobs::decodeJob("{}"));
    CHECK_FALSE(Jobs::decodeJob(R"({"id":7})"));
    CHECK_FALSE(Jobs::decodeProgress({ "j" }, R"({"state":99,"tasks":[]})"));
    rc::prop("random bytes never throw", [](const std::string& bytes) {
        Jobs::decodeJob(bytes);
        Jobs::decodeProgress({ "j" }, bytes);
    });
}

TEST_CASE("The registry's content doesn't depend on the order in which the topics are read", "[jobs]")
{
    const auto job = someJob("a000000000000001");
    Jobs::job_registry registry;
    SECTION("progress before the job")
    {
        registry.advance({ .job = job.id, .state = job_state::Completed });
        CHECK_FALSE(registry.stateOf(job.id));
        registry.accept(job);
        CHECK(registry.stateOf(job.id) == job_state::Completed);
    }
    SECTION("cancellation before the job")
    {
        registry.cancel(job.id);
        CHECK_FALSE(registry.stateOf(job.id));
        registry.accept(job);
        CHECK(registry.stateOf(job.id) == job_state::Cancelled);
        CHECK(registry.openJobs().empty());
        CHECK(registry.cancelledJobs().size() == 1);
    }
    SECTION("a second copy changes nothing")
    {
        registry.accept(job);
        auto copy = job;
        copy.queue = { "other" };
        registry.accept(copy);
        CHECK(registry.find(job.id)->queue.value == "q");
        CHECK(registry.waitingIn({ "q" }) == 1);
    }
    SECTION("a finished job stays finished when older records are read")
    {
        CHECK(registry.accept(job));
        CHECK_FALSE(registry.accept(job));
        registry.advance({ .job = job.id, .state = job_state::Completed });
        registry.advance({ .job = job.id, .state = job_state::Running });
        CHECK(registry.stateOf(job.id) == job_state::Completed);
    }
    SECTION("a job that was completed before its cancellation stays completed")
    {
        registry.accept(job);
        registry.advance({ .job = job.id, .state = job_state::Completed });
        registry.cancel(job.id);
        CHECK(registry.stateOf(job.id) == job_state::Completed);
    }
}
