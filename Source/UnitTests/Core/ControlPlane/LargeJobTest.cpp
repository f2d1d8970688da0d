#include "ControlPlane/ProgressWriter.h"
#include "Jobs/JobCodec.h"
#include "LeadershipFixture.h"

#include <catch2/catch.hpp>

namespace {

/// The store takes only short records, and one leader runs a job of a thousand tasks beside a small one.
struct large_job_fixture : leadership_fixture {
    large_job_fixture()
    {
        store.limits = { .recordBytes = 4000, .appendBytes = 10000 };
        gateway.finishesTasks = true;
        // Long enough for a thousand placements at once.
        gateway.workTime = Common::millis(1900);
        first = std::make_unique<instance>(*this, options("first"));
        first->manager->setRules(rules());
        timers.advance(Common::millis(2000));
        REQUIRE(first->manager->isConfirmedLeader());
    }

    ControlPlane::leadership_options options(const std::string& member) const
    {
        return { .member = member, .progressTopic = progress(), .storeLimits = store.limits };
    }

    void add(const std::string& id, int tasks, Common::millicores processor)
    {
        const Jobs::step_spec step { .count = tasks, .request = { .processor = processor } };
        auto later = step;
        later.dependsOn = { 0 };
        const auto record = ControlPlane::jobRecord(
            { .id = { id }, .queue = { "q" }, .spec = { .payload = "p", .steps = { step, later } } });
        store.put({ "keyed.intake", 0 }, record.key, record.value);
    }

    /// State of a job and number of its tasks that are done, as the log has them.
    Jobs::job_progress logged(const std::string& id)
    {
        Jobs::job_registry seen;
        const auto job = Jobs::jobIdOf({ id }, { .queue = { "q" }, .team = {} });
        seen.accept({ .id = job, .queue = { "q" } });
        ControlPlane::progress_feed feed(seen);
        for (const auto& [key, record] : store.partitions[progress()].newest)
            feed.apply(record);
        return seen.progressOf(job);
    }

    bool isCompleted(const std::string& id) { return logged(id).state == Jobs::job_state::Completed; }

    std::unique_ptr<instance> first;
};

}

/// Guards against review case 4: the record of a large job was refused by the store for ever, and with it all that the
/// leader had to store.
TEST_CASE("A large job doesn't keep the leader from storing anything", "[station][large-job]")
{
    large_job_fixture s;
    s.add("large", 1000, { 8 });
    s.timers.advance(Common::millis(300));
    s.add("small", 3, { 8 });
    s.timers.advance(Common::millis(20000));
    CHECK(s.store.tooLong == 0);
    CHECK(s.isCompleted("small"));
    CHECK(s.isCompleted("large"));
    CHECK(s.claimers() == std::vector<std::string> { "first" });
    // The parts of a finished job are deleted.
    CHECK(s.store.partitions[leadership_fixture::progress()].newest.count("large#1") == 0);
}

TEST_CASE("A new leader puts the parts of a large job together", "[station][large-job]")
{
    large_job_fixture s;
    s.add("large", 1000, { 8 });
    leadership_fixture::instance second(s, s.options("second"));
    second.manager->setRules(leadership_fixture::rules());
    const auto countDone = [&s] {
        const auto tasks = s.logged("large").tasks;
        return std::count_if(tasks.begin(), tasks.end(), [](const auto& task) { return task.isDone; });
    };
    for (int step = 0; step < 4000 && countDone() < 400; ++step)
        s.timers.advance(Common::millis(2));
    REQUIRE(countDone() >= 400);
    REQUIRE_FALSE(s.isCompleted("large"));
    s.first->kill();
    s.timers.advance(Common::millis(30000));
    CHECK(s.store.tooLong == 0);
    CHECK(s.isCompleted("large"));
    CHECK(std::all_of(s.gateway.starts.begin(), s.gateway.starts.end(), [](const auto& start) { return start.second == 1; }));
}

TEST_CASE("Checkpoints that don't fit a record are left out, the longest first", "[station][large-job]")
{
    const Jobs::job_registry registry;
    ControlPlane::progress_writer writer(registry, { .recordBytes = 4000, .appendBytes = 8000 });
    Jobs::job_progress progress { .job = { "j" }, .state = Jobs::job_state::Running };
    for (int index = 0; index < 20; ++index)
        progress.tasks.push_back({ .index = index, .checkpoint = std::string(index < 10 ? 16 : 1000, 'c'), .run = 1 });
    const auto records = writer.write(progress);
    REQUIRE(records.size() == 1);
    CHECK(Records::sizeInAppend(records[0]) <= 4000);
    const auto stored = Jobs::decodeProgress({ "j" }, records[0].value);
    REQUIRE(stored);
    for (int index = 0; index < 20; ++index)
        CHECK(stored->tasks[static_cast<std::size_t>(index)].checkpoint.size() == (index < 10 ? 16U : 0U));
}

TEST_CASE("Records are divided into appends that the store takes, in their order", "[station][large-job]")
{
    std::vector<Records::keyed_record> records;
    for (int number = 0; number < 10; ++number)
        records.push_back({ .key = std::to_string(number), .value = std::string(300, 'v') });
    const Records::store_limits limits { .recordBytes = 400, .appendBytes = 1000 };
    const auto groups = ControlPlane::divideIntoAppends(records, limits);
    CHECK(groups.size() == 4);
    int next = 0;
    for (const auto& group : groups) {
        std::size_t bytes = 0;
        for (const auto& record : group) {
            bytes += Records::sizeInAppend(record);
            CHECK(record.key == std::to_string(next++));
        }
        CHECK(bytes <= limits.appendBytes);
    }
    CHECK(next == 10);
}
