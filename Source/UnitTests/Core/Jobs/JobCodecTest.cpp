#include "Jobs/JobCodec.h"
#include "Jobs/JobBook.h"

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
        .mostPerWorker = 1,
        .isLasting = true,
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

TEST_CASE("Jobs and their progress come back from the log as they went in", "[jobs]")
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

TEST_CASE("Bytes that aren't a job are refused", "[jobs]")
{
    CHECK_FALSE(Jobs::decodeJob("{}"));
    CHECK_FALSE(Jobs::decodeJob(R"({"id":7})"));
    CHECK_FALSE(Jobs::decodeProgress({ "j" }, R"({"state":99,"tasks":[]})"));
    rc::prop("random bytes never throw", [](const std::string& bytes) {
        Jobs::decodeJob(bytes);
        Jobs::decodeProgress({ "j" }, bytes);
    });
}

TEST_CASE("The book tells the same whatever the order of the topics", "[jobs]")
{
    const auto job = someJob("a000000000000001");
    Jobs::job_book book;
    SECTION("progress before the job")
    {
        book.advance({ .job = job.id, .state = job_state::Completed });
        CHECK_FALSE(book.stateOf(job.id));
        book.accept(job);
        CHECK(book.stateOf(job.id) == job_state::Completed);
    }
    SECTION("cancellation before the job")
    {
        book.cancel(job.id);
        CHECK_FALSE(book.stateOf(job.id));
        book.accept(job);
        CHECK(book.stateOf(job.id) == job_state::Cancelled);
        CHECK(book.openJobs().empty());
        CHECK(book.cancelledJobs().size() == 1);
    }
    SECTION("a second copy changes nothing")
    {
        book.accept(job);
        auto copy = job;
        copy.queue = { "other" };
        book.accept(copy);
        CHECK(book.find(job.id)->record->queue.value == "q");
        CHECK(book.waitingIn({ "q" }) == 1);
    }
    SECTION("a job that is over stays so when older records are read")
    {
        CHECK(book.accept(job));
        CHECK_FALSE(book.accept(job));
        book.advance({ .job = job.id, .state = job_state::Completed });
        book.advance({ .job = job.id, .state = job_state::Running });
        CHECK(book.stateOf(job.id) == job_state::Completed);
    }
    SECTION("a job that was completed before its cancellation stays completed")
    {
        book.accept(job);
        book.advance({ .job = job.id, .state = job_state::Completed });
        book.cancel(job.id);
        CHECK(book.stateOf(job.id) == job_state::Completed);
    }
}
