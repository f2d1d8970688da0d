#include "DispatcherFixture.h"
#include "Jobs/JobNames.h"

#include <catch2/catch.hpp>

/// Guards against mixing two jobs with one identifier of their callers on a worker, which knows tasks by that identifier.
namespace {

struct same_identifier_fixture : dispatcher_fixture {
    explicit same_identifier_fixture(std::int64_t token = 7, std::int64_t runBase = 0)
        : dispatcher_fixture(token, runBase)
    {
    }

    static Jobs::job_record jobOf(const std::string& scope, int tasks)
    {
        auto record = job("id", { step(tasks) });
        record.id = Jobs::jobIdOf({ "id" }, scope);
        return record;
    }

    /// What a worker lists.
    static Dispatch::listed_run onWire(const Dispatch::start_order& order)
    {
        auto run = listed(order);
        run.task.job.value = Jobs::callerIdOf(run.task.job).value;
        return run;
    }

    Dispatch::listed_end endOnWire(const Dispatch::start_order& order)
    {
        auto end = ended(order, Dispatch::end_kind::Done);
        end.task.job.value = Jobs::callerIdOf(end.task.job).value;
        return end;
    }

    Jobs::job_progress storedOf(const Jobs::job_record& record) const
    {
        const auto found = std::find_if(stored.progress.begin(), stored.progress.end(),
            [&record](const auto& progress) { return progress.job == record.id; });
        return found == stored.progress.end() ? Jobs::job_progress {} : *found;
    }

    int finished(Jobs::job_state state) const
    {
        return static_cast<int>(std::count_if(events.begin(), events.end(), [state](const auto& event) {
            return event.kind == Dispatch::dispatch_event_kind::JobFinished && event.state == state;
        }));
    }

    const Jobs::job_record first = jobOf("a", 1);
    const Jobs::job_record second = jobOf("b", 1);
};

}

TEST_CASE("Jobs with one identifier never share a worker, and their run numbers differ", "[same-id]")
{
    same_identifier_fixture s;
    s.join(s.worker("w1"));
    s.add(s.first);
    s.add(s.second);
    const auto starts = s.plan().starts;
    REQUIRE(starts.size() == 1);
    s.accept(starts[0]);
    CHECK(s.plan().starts.empty());

    SECTION("the second one starts on another worker")
    {
        s.join(s.worker("w2"));
        const auto more = s.plan().starts;
        REQUIRE(more.size() == 1);
        CHECK(more[0].worker.id.value == "w2");
        CHECK(more[0].task.job != starts[0].task.job);
        CHECK(Jobs::laneOfRun(more[0].run.value) != Jobs::laneOfRun(starts[0].run.value));
    }
    SECTION("or once the first one's task has ended, and the end counts for the first one only")
    {
        s.answerPoll(*s.nextPoll(), {}, { s.endOnWire(starts[0]) });
        const auto more = s.plan().starts;
        REQUIRE(more.size() == 1);
        CHECK(more[0].task.job == (starts[0].task.job == s.first.id ? s.second.id : s.first.id));
        CHECK(more[0].run > starts[0].run);
        CHECK(s.finished(Jobs::job_state::Completed) == 1);
        s.accept(more[0]);
        s.answerPoll(*s.nextPoll(), { s.onWire(more[0]) });
        s.answerPoll(*s.nextPoll(), {}, { s.endOnWire(more[0]) });
        CHECK(s.finished(Jobs::job_state::Completed) == 2);
    }
}

TEST_CASE("A later leader tells the runs of jobs with one identifier apart by their numbers", "[same-id]")
{
    same_identifier_fixture earlier;
    earlier.join(earlier.worker("w1"));
    earlier.add(earlier.second);
    REQUIRE(earlier.plan().starts.size() == 1);
    const auto stored = earlier.storedOf(earlier.second);
    CHECK(stored.lanes == std::vector { 0 });

    same_identifier_fixture s(8, 1000);
    s.dispatcher.workerRegistered(s.worker("w1"), s.now, s.now);
    s.dispatcher.workerRegistered(s.worker("w2"), s.now, s.now);
    s.dispatcher.addJob(s.first, { .job = s.first.id }, s.now, 0);
    s.add(s.second, stored);
    s.plan();
    const Dispatch::listed_run run { .task = { .job = { "id" } }, .run = { stored.tasks[0].run }, .percent = { 20 } };
    s.answerPoll(*s.nextPoll("w1"), { run });
    s.answerPoll(*s.nextPoll("w2"));
    const auto starts = s.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job == s.first.id);
    CHECK(starts[0].worker.id.value == "w2");
    CHECK(s.finished(Jobs::job_state::Completed) == 0);

    SECTION("an end that was listed before any of the present runs belongs to the job of its lane")
    {
        s.answerPoll(*s.nextPoll("w1"), {},
            { { .number = { 1 }, .task = run.task, .run = run.run, .kind = Dispatch::end_kind::Done } });
        CHECK(s.finished(Jobs::job_state::Completed) == 1);
        CHECK_FALSE(s.dispatcher.recordOf(s.first.id) == nullptr);
        const auto finished = std::find_if(s.events.begin(), s.events.end(),
            [](const auto& event) { return event.kind == Dispatch::dispatch_event_kind::JobFinished; });
        CHECK(finished->task.job == s.second.id);
    }
}

TEST_CASE("A job goes on with higher run numbers where a worker has seen those of another job with its identifier", "[same-id]")
{
    same_identifier_fixture s;
    s.join(s.worker("w1"));
    s.add(s.first);
    const auto began = s.plan().starts;
    REQUIRE(began.size() == 1);
    // The worker has ended a run of the second job, which was of a higher lane.
    s.dispatcher.addJob(s.second, { .job = s.second.id, .lanes = { 3 } }, s.now);
    s.dispatcher.cancelJob(s.second.id);
    s.dispatcher.onStart(began[0], s.reply(Dispatch::order_outcome::StaleRun), s.now);
    const auto again = s.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == began[0].task);
    CHECK(Jobs::laneOfRun(again[0].run.value) == 4);
    CHECK(s.storedOf(s.first).lanes == std::vector { 0, 4 });

    SECTION("a worker that refuses them again doesn't raise them for ever")
    {
        s.dispatcher.onStart(again[0], s.reply(Dispatch::order_outcome::StaleRun), s.now);
        const auto last = s.plan().starts;
        REQUIRE(last.size() == 1);
        CHECK(Jobs::laneOfRun(last[0].run.value) == 4);
    }
}
