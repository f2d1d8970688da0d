#include "DispatcherFixture.h"
#include "Jobs/HeldBytes.h"
#include "Jobs/JobRegistry.h"

#include <catch2/catch.hpp>
#include <malloc.h>

/// Guards against review case 11: three large jobs took more memory than a process has, and each next leader, which
/// loaded them as its term began, was killed too.
namespace {

/// Memory of an instance on the smallest deployment.
constexpr std::size_t processBytes = 260'000'000;

/// 0 under sanitizers, which don't tell.
std::size_t heapBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::size_t grownSince(std::size_t before) { return std::max(before, heapBytes()) - before; }

struct large_jobs_fixture : dispatcher_fixture {
    large_jobs_fixture()
    {
        rules.pools.push_back({ .id = { "other" }, .checksCapacity = true });
        rules.queues.push_back({ .id = { "small" }, .host = "h", .pathPrefix = "/s/", .pool = { "other" }, .maxAttempts = 2 });
        dispatcher.setRules(rules);
    }

    /// The largest job that is accepted.
    static Jobs::job_record largest(const std::string& id)
    {
        return job(id, std::vector(Jobs::maxStepsPerJob, step(Jobs::maxTasksPerStep)));
    }
};

}

TEST_CASE("The largest jobs leave the leader within its memory, and another pool's jobs start", "[job-memory]")
{
    large_jobs_fixture s;
    const auto before = heapBytes();
    for (const auto* id : { "a", "b", "c" })
        s.add(s.largest(id));
    auto small = s.job("d", { s.step(2) });
    small.queue = { "small" };
    s.add(small);
    CHECK(grownSince(before) < processBytes / 4);

    auto other = s.worker("w2");
    other.pool = { "other" };
    s.join(s.worker("w1"));
    s.join(other);
    const auto starts = s.plan().starts;
    CHECK(std::count_if(starts.begin(), starts.end(), [](const auto& start) { return start.task.job.value == "d"; }) == 2);
    CHECK(grownSince(before) < processBytes / 4);
}

TEST_CASE("The progress of a large job is loaded, kept and stored part by part", "[job-memory]")
{
    const auto record = large_jobs_fixture::largest("a");
    const Jobs::progress_division division(record.spec);
    Jobs::job_registry registry;
    const auto before = heapBytes();
    registry.accept(record);
    // All tasks but those of the last part are done.
    for (int part = 0; part + 1 < division.partCount(); ++part) {
        Jobs::job_progress progress { .job = record.id, .state = Jobs::job_state::Running, .part = part };
        for (const auto& range : division.rangesOf(part)) {
            for (int index = range.first; index < range.last; ++index)
                progress.tasks.push_back({ .step = range.step, .index = index, .isDone = true });
        }
        registry.advance(std::move(progress));
    }
    large_jobs_fixture s;
    bool isFirst = true;
    std::size_t most = 0;
    registry.visitProgress(record.id, [&](const Jobs::job_progress& part) {
        CHECK(part.tasks.size() <= Jobs::progress_division::tasksPerPart);
        if (std::exchange(isFirst, false))
            s.dispatcher.addJob(record, part, s.now);
        else
            s.dispatcher.addProgress(part, s.now);
        most = std::max(most, grownSince(before));
    });
    CHECK(most < processBytes / 4);

    s.join(s.worker("w1"));
    const auto starts = s.plan().starts;
    REQUIRE_FALSE(starts.empty());
    CHECK(starts[0].task.step == Jobs::maxStepsPerJob - 1);
    CHECK(starts[0].task.index == Jobs::maxTasksPerStep - Jobs::progress_division::tasksPerPart);
    // Only the part that has changed is stored.
    REQUIRE(s.stored.progress.size() == 1);
    CHECK(s.stored.progress[0].part == division.partCount() - 1);
    CHECK(s.stored.progress[0].tasks.size() == starts.size());
}

TEST_CASE("Occurrences that are done take no memory, and not all that are due are open at once", "[job-memory]")
{
    dispatcher_fixture s;
    s.join(s.worker("w1"));
    auto record = s.job("a", { s.step(1, 10) });
    record.spec.repetitions = static_cast<int>(Jobs::maxTasksPerJob);
    record.spec.firstStart = { 1 };
    const auto before = heapBytes();
    s.add(record);
    s.dispatcher.limitStarts({ .plannedPerPool = 64 });
    int ended = 0;
    for (int round = 0; round < 100; ++round) {
        std::vector<Dispatch::listed_end> ends;
        for (const auto& start : s.plan().starts) {
            s.accept(start);
            ends.push_back(s.ended(start, Dispatch::end_kind::Done));
            CHECK(start.task.occurrence == ended++);
        }
        s.answerPoll(*s.nextPoll(), {}, ends);
        s.events.clear();
    }
    CHECK(ended > 5000);
    CHECK(grownSince(before) < processBytes / 4);
}

TEST_CASE("The memory with which a job is counted is enough for the registry and the leader", "[job-memory]")
{
    const auto now = Common::instant(std::chrono::seconds(1000));
    for (const int steps : { 1, 2, 64 }) {
        for (const int repetitions : { 0, 3, 4000 }) {
            Jobs::job_registry registry;
            dispatcher_fixture s;
            const auto before = heapBytes();
            std::size_t counted = 0;
            for (int number = 0; number < 40; ++number) {
                auto record = s.job(std::to_string(number), std::vector(static_cast<std::size_t>(steps), s.step(4000)));
                record.spec.payload = std::string(static_cast<std::size_t>(number) * 100, 'x');
                record.spec.repetitions = repetitions;
                record.spec.firstStart = { 1 };
                counted += Jobs::heldBytes(record);
                registry.accept(record);
                s.dispatcher.addJob(record, { .job = record.id }, now);
            }
            CHECK(registry.openBytes() == counted);
            s.plan();
            CHECK(grownSince(before) <= counted);
        }
    }
}

TEST_CASE("A pool whose tasks need nothing doesn't take all places for tasks", "[job-memory]")
{
    large_jobs_fixture s;
    Dispatch::dispatcher bounded({ .token = { 7 }, .maxPlacedTasks = 1000 }, s.now, s);
    bounded.setRules(s.rules);
    bounded.setLogComplete();
    auto greedy = s.job("a", { s.step(4000, 0) });
    greedy.spec.steps[0].request = {};
    auto other = s.job("b", { s.step(2) });
    other.queue = { "small" };
    auto otherWorker = s.worker("w2");
    otherWorker.pool = { "other" };
    for (const auto& entry : { s.worker("w1"), otherWorker }) {
        bounded.workerRegistered(entry, s.now, s.now);
        auto reply = s.done();
        reply.outcome = Dispatch::order_outcome::Done;
        bounded.onPollReply({ .worker = { .id = entry.id, .incarnationStartedAt = { 1000 } } }, { .base = reply }, s.now, s.now);
    }
    bounded.addJob(greedy, { .job = greedy.id }, s.now);
    std::map<std::string, int> starts;
    const auto planAll = [&] {
        for (int pass = 0; pass < 20; ++pass) {
            const Dispatch::leadership_status status { .isHeld = true, .confirmedUntil = s.now + std::chrono::seconds(1) };
            for (const auto& start : bounded.plan(s.now, s.wall(), status).starts)
                ++starts[start.task.job.value];
            bounded.onCommitted(bounded.takeCommit(), s.now);
        }
    };
    planAll();
    CHECK(starts["a"] == 500);
    bounded.addJob(other, { .job = other.id }, s.now);
    planAll();
    CHECK(starts["a"] <= 500);
    CHECK(starts["b"] == 2);
}
