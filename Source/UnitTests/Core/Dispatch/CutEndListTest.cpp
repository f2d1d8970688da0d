#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace {

using std::chrono::milliseconds;

/// Two tasks run on one worker and another one is idle. The store doesn't take ends, so that none is acknowledged.
struct cut_list_fixture : dispatcher_fixture {
    explicit cut_list_fixture(std::int64_t token = 7, std::int64_t runBase = 0)
        : dispatcher_fixture(token, runBase)
    {
    }

    void joinOther()
    {
        auto other = worker("w2");
        other.address.port = 2;
        join(other);
    }

    /// Answers the next poll of the busy worker with a list of ends that was cut after these.
    void answerWithCutList(std::vector<Dispatch::listed_run> running, std::vector<Dispatch::listed_end> ends)
    {
        const auto poll = nextPoll().value();
        openPolls.erase(poll.worker.id);
        const auto sentAt = now;
        now += stepTime;
        auto base = done();
        base.outcome = Dispatch::order_outcome::Done;
        dispatcher.onPollReply(poll,
            { .base = base, .running = std::move(running), .ended = std::move(ends), .mayHaveMoreEnds = true }, sentAt, now);
    }

    int count(Dispatch::dispatch_event_kind kind) const
    {
        return static_cast<int>(
            std::count_if(events.begin(), events.end(), [kind](const auto& event) { return event.kind == kind; }));
    }
};

}

/// Guards against review case 1: runs whose ends were beyond the first 500 of a list counted as vanished and ran again.
TEST_CASE("A run in neither list hasn't vanished while the list of ends is cut", "[dispatch][ends]")
{
    cut_list_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(2) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 2);
    f.joinOther();
    for (const auto& start : starts)
        f.accept(start);
    const auto first = f.ended(starts[0], Dispatch::end_kind::Done);
    const auto second = f.ended(starts[1], Dispatch::end_kind::Done);
    f.answerWithCutList({}, { first });
    CHECK(f.plan().starts.empty());
    CHECK(f.count(Dispatch::dispatch_event_kind::RunMissing) == 0);
    CHECK(f.count(Dispatch::dispatch_event_kind::EndListCut) == 1);

    SECTION("and its end counts once it is listed")
    {
        f.answerPoll(f.nextPoll().value(), {}, { second });
        CHECK(f.plan().starts.empty());
        CHECK(f.count(Dispatch::dispatch_event_kind::JobFinished) == 1);
        CHECK(f.count(Dispatch::dispatch_event_kind::EndListComplete) == 1);
    }
    SECTION("and has vanished when the whole list lacks it")
    {
        f.answerPoll(f.nextPoll().value());
        const auto again = f.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].task == starts[1].task);
    }
}

TEST_CASE("A run that was told to stop may have ended otherwise while the list of ends is cut", "[dispatch][ends]")
{
    cut_list_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.joinOther();
    f.dispatcher.onStart(start, dispatcher_fixture::reply(Dispatch::order_outcome::NoAnswer), f.now);
    f.dispatcher.onStop(f.plan().stops.at(0), dispatcher_fixture::reply(Dispatch::order_outcome::Done), f.now);
    f.now += milliseconds(300);
    f.answerWithCutList({}, {});
    CHECK(f.plan().starts.empty());
    f.answerPoll(f.nextPoll().value(), {}, { f.ended(start, Dispatch::end_kind::Done) });
    CHECK(f.plan().starts.empty());
    CHECK(f.count(Dispatch::dispatch_event_kind::JobFinished) == 1);
}

TEST_CASE("A new leader holds back started jobs until the ends of all workers are listed", "[dispatch][ends]")
{
    cut_list_fixture f(8, 1000);
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.add(f.job("j", { f.step(2) }),
        { .state = Jobs::job_state::Running, .tasks = { { .worker = { "w1" }, .run = 1, .incarnation = { 1000 } } } });
    f.joinOther();
    // The second task ran without the log.
    const Dispatch::listed_end ends[] = { { .number = { 1 }, .task = { .job = { "j" }, .index = 0 }, .run = { 1 } },
        { .number = { 2 }, .task = { .job = { "j" }, .index = 1 }, .run = { 1 } } };
    f.answerWithCutList({}, { ends[0] });
    CHECK(f.plan().starts.empty());
    CHECK_FALSE(f.dispatcher.knowsAllPlacements(f.now));
    f.dispatcher.onCommitted(f.dispatcher.takeCommit(), f.now);
    f.answerPoll(f.nextPoll().value(), {}, { ends[1] });
    CHECK(f.plan().starts.empty());
    CHECK(f.count(Dispatch::dispatch_event_kind::JobFinished) == 1);
    CHECK(f.dispatcher.knowsAllPlacements(f.now));
}
