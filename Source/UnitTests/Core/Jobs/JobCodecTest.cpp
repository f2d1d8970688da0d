#include "Jobs/JobCodec.h"
#include "Jobs/JobRegistry.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

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
        .tasks = { { .occurrence = 1, .step = 0, .index = 2, .isDone = true },
            { .occurrence = 0, .step = 1, .index = 0, .failedRuns = { 1, 1001 }, .checkpoint = "c" },
            { .occurrence = 0, .step = 1, .index = 1, .worker = { "w" }, .run = 1002 } } };
    CHECK(Jobs::decodeProgress(job.id, Jobs::encodeProgress(progress)) == progress);
}

TEST_CASE("Bytes that aren't a valid job or progress are rejected", "[jobs]")
{
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
        CHECK(registry.find(job.id)->record->queue.value == "q");
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
