#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two tasks of a job were sent to a worker, which restarts under its id at the address that it had. Another worker is idle.
struct restart_fixture : dispatcher_fixture {
    static constexpr Common::wall_millis first { 1000 };
    static constexpr Common::wall_millis second { 2000 };

    restart_fixture()
    {
        join(worker("w1"));
        add(job("j", { step(2) }));
        starts = plan().starts;
        REQUIRE(starts.size() == 2);
    }

    void joinOther()
    {
        auto other = worker("w2");
        other.address.port = 2;
        const auto present = std::exchange(incarnationStartedAt, first);
        join(other);
        incarnationStartedAt = present;
    }

    void registerAgain()
    {
        incarnationStartedAt = second;
        auto restarted = worker("w1");
        restarted.incarnationStartedAt = second;
        dispatcher.workerRegistered(restarted, now, now);
    }

    const std::map<Jobs::task_name, Dispatch::task_run>& runs() const { return dispatcher.workers().at({ "w1" }).runs; }

    int count(Dispatch::dispatch_event_kind kind) const
    {
        return static_cast<int>(
            std::count_if(events.begin(), events.end(), [kind](const auto& event) { return event.kind == kind; }));
    }

    std::vector<Dispatch::start_order> starts;
};

}

/// Guards against review case 2: what the next incarnation had started was taken for lost and ran a second time.
TEST_CASE("A task whose start was answered just after its worker had restarted isn't run elsewhere", "[dispatch][restart]")
{
    restart_fixture f;
    for (const auto& start : f.starts)
        f.accept(start);
    const bool isShownByList = GENERATE(false, true);
    CAPTURE(isShownByList);
    f.incarnationStartedAt = restart_fixture::second;
    if (!isShownByList)
        f.registerAgain();
    f.joinOther();
    CHECK(f.plan().starts.empty());
    const auto poll = f.nextPoll().value();
    SECTION("and goes on there when the worker lists it")
    {
        f.answerPoll(poll, { f.listed(f.starts[0]), f.listed(f.starts[1]) });
        CHECK(f.plan().starts.empty());
        CHECK(f.runs().size() == 2);
        CHECK(f.count(Dispatch::dispatch_event_kind::StopOrdered) == 0);
        CHECK(f.count(Dispatch::dispatch_event_kind::CrashNoted) == 0);
    }
    SECTION("and its end there counts")
    {
        f.answerPoll(poll, {}, { f.ended(f.starts[0], Dispatch::end_kind::Done), f.ended(f.starts[1], Dispatch::end_kind::Done) });
        CHECK(f.plan().starts.empty());
        CHECK(f.count(Dispatch::dispatch_event_kind::JobFinished) == 1);
        CHECK(f.count(Dispatch::dispatch_event_kind::CrashNoted) == 0);
    }
    SECTION("unless the worker's list lacks it, since the earlier incarnation ran it then")
    {
        f.answerPoll(poll, { f.listed(f.starts[0]) });
        f.now += milliseconds(100);
        const auto again = f.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].task == f.starts[1].task);
        CHECK(f.count(Dispatch::dispatch_event_kind::CrashNoted) == 1);
    }
}

TEST_CASE("A task that a worker has listed is lost when the worker restarts", "[dispatch][restart]")
{
    restart_fixture f;
    for (const auto& start : f.starts)
        f.accept(start);
    f.answerPoll(f.nextPoll().value(), { f.listed(f.starts[0]), f.listed(f.starts[1]) });
    f.registerAgain();
    f.joinOther();
    CHECK(f.plan().starts.size() == 2);
}

TEST_CASE("A list that was requested before a start was answered doesn't show that the start was lost in a restart",
    "[dispatch][restart]")
{
    restart_fixture f;
    f.accept(f.starts[0]);
    const auto poll = f.nextPoll().value();
    const auto sentAt = f.now;
    f.now += milliseconds(5);
    f.accept(f.starts[1]);
    f.registerAgain();
    f.joinOther();
    f.dispatcher.onPollReply(poll, { .base = f.done() }, sentAt, f.now);
    CHECK(f.runs().contains(f.starts[1].task));
    f.answerPoll(f.nextPoll().value(), { f.listed(f.starts[1]) });
    const auto again = f.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == f.starts[0].task);
}

/// A start that was sent to one incarnation of a worker may be carried out by the next one under the same id.
TEST_CASE("A task isn't started elsewhere while a restarted worker may begin it", "[dispatch][restart]")
{
    restart_fixture f;
    const auto acceptWithName = [&f](const Dispatch::start_order& order) {
        auto reply = f.done();
        reply.outcome = Dispatch::order_outcome::Done;
        f.dispatcher.onStart(order, reply, f.now);
    };
    SECTION("whose answer to another start shows that it has restarted")
    {
        f.incarnationStartedAt = restart_fixture::second;
        acceptWithName(f.starts[0]);
    }
    SECTION("which shows that it has restarted after the start had no answer")
    {
        f.dispatcher.onStart(f.starts[0], dispatcher_fixture::reply(Dispatch::order_outcome::NoAnswer), f.now);
        f.incarnationStartedAt = restart_fixture::second;
        acceptWithName(f.starts[1]);
    }
    SECTION("which has registered again") { f.registerAgain(); }
    f.joinOther();
    CHECK(f.plan().starts.empty());
    for (const auto& start : f.starts) {
        REQUIRE(f.runs().contains(start.task));
        CHECK(f.runs().at(start.task).phase == Dispatch::run_phase::Stopping);
    }
}

TEST_CASE("What an incarnation answers after its successor is known says nothing of the successor", "[dispatch][restart]")
{
    restart_fixture f;
    SECTION("a stop that it accepted leaves the start to the successor")
    {
        f.dispatcher.onStart(f.starts[0], dispatcher_fixture::reply(Dispatch::order_outcome::NoAnswer), f.now);
        const auto stops = f.plan().stops;
        REQUIRE(stops.size() == 1);
        f.registerAgain();
        f.dispatcher.onStop(stops[0], dispatcher_fixture::reply(Dispatch::order_outcome::Done), f.now);
        f.now += milliseconds(300);
        f.answerPoll(f.nextPoll().value());
        CHECK(f.runs().contains(f.starts[0].task));
    }
    SECTION("its list of runs doesn't replace the successor's")
    {
        f.accept(f.starts[0]);
        f.accept(f.starts[1]);
        const auto poll = f.nextPoll().value();
        f.registerAgain();
        auto base = f.done();
        base.outcome = Dispatch::order_outcome::Done;
        base.incarnationStartedAt = restart_fixture::first;
        f.dispatcher.onPollReply(poll, { .base = base }, f.now, f.now);
        CHECK(f.runs().size() == 2);
        CHECK(f.dispatcher.workers().at({ "w1" }).entry.incarnationStartedAt == restart_fixture::second);
    }
    SECTION("another worker at its address isn't at the successor's")
    {
        f.accept(f.starts[0]);
        f.registerAgain();
        f.dispatcher.onStart(f.starts[1], dispatcher_fixture::reply(Dispatch::order_outcome::OtherIncarnation), f.now);
        CHECK(f.runs().contains(f.starts[0].task));
    }
    SECTION("its clock isn't the successor's")
    {
        f.registerAgain();
        f.accept(f.starts[0]);
        CHECK_FALSE(f.dispatcher.workers().at({ "w1" }).knowsClock());
    }
}

TEST_CASE("After a restart the longest lease may be in force, since deadlines were set on the clock of the earlier incarnation",
    "[dispatch][restart]")
{
    restart_fixture f;
    for (const auto& start : f.starts)
        f.accept(start);
    f.registerAgain();
    f.joinOther();
    const auto noAnswer = dispatcher_fixture::reply(Dispatch::order_outcome::NoAnswer);
    f.dispatcher.onPollReply(f.nextPoll().value(), { .base = noAnswer }, f.now, f.now);
    const auto began = f.now;
    std::optional<Common::instant> startedAgainAt;
    while (!startedAgainAt && f.now < began + seconds(15)) {
        const auto orders = f.plan();
        // The worker isn't reached any more.
        for (const auto& poll : orders.polls)
            f.dispatcher.onPollReply(poll, { .base = noAnswer }, f.now, f.now);
        if (!orders.starts.empty())
            startedAgainAt = f.now;
        f.now += milliseconds(100);
    }
    REQUIRE(startedAgainAt);
    CHECK(*startedAgainAt - began >= Dispatch::worker_bounds().longestLease);
}

TEST_CASE("A new leader takes over what the restarted worker runs, although the log names the earlier incarnation",
    "[dispatch][restart]")
{
    dispatcher_fixture f(8, 1000);
    f.dispatcher.setLogComplete();
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }),
        { .state = Jobs::job_state::Running,
            .tasks = { { .worker = { "w1" }, .run = 3, .incarnation = { 1000 } } } });
    f.incarnationStartedAt = { 2000 };
    const Dispatch::listed_run listed { .task = { .job = { "j" } }, .run = { 3 }, .percent = { 10 } };
    f.answerPoll(f.nextPoll().value(), { listed });
    auto restarted = f.worker("w1");
    restarted.incarnationStartedAt = { 2000 };
    f.dispatcher.workerRegistered(restarted, f.now, f.now);
    auto other = f.worker("w2");
    other.address.port = 2;
    f.dispatcher.workerRegistered(other, f.now, f.now);
    f.answerPoll(f.nextPoll("w2").value());
    CHECK(f.plan().starts.empty());
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.size() == 1);
}

/// Guards against acknowledgements of ends that aren't stored: the worker forgets them, and their tasks run again.
TEST_CASE("Numbers of ends are those of one incarnation", "[dispatch][restart]")
{
    restart_fixture f;
    for (const auto& start : f.starts)
        f.accept(start);
    f.answerPoll(f.nextPoll().value(), {}, { f.ended(f.starts[0], Dispatch::end_kind::Failed), f.ended(f.starts[1], Dispatch::end_kind::Failed) });
    SECTION("what is stored of an earlier one acknowledges nothing of the next")
    {
        const auto batch = f.dispatcher.takeCommit();
        f.registerAgain();
        f.isStored = false;
        f.lastEnd = 0;
        // The next incarnation has ended other runs under the same numbers.
        Dispatch::start_order unknown { .task = { .job = { "other" } }, .run = { 1 } };
        f.answerPoll(f.nextPoll().value(), {}, { f.ended(unknown, Dispatch::end_kind::Done), f.ended(unknown, Dispatch::end_kind::Done) });
        f.dispatcher.onCommitted(batch, f.now);
        CHECK(f.dispatcher.workers().at({ "w1" }).storedEnd == Dispatch::end_number());
    }
    SECTION("an acknowledgement is sent until it is answered, and not again")
    {
        f.dispatcher.onCommitted(f.dispatcher.takeCommit(), f.now);
        const auto first = f.nextPoll().value();
        CHECK(first.acknowledgedEnd.value == 2);
        f.openPolls.clear();
        f.dispatcher.onPollReply(first, { .base = dispatcher_fixture::reply(Dispatch::order_outcome::NoAnswer) }, f.now, f.now);
        const auto again = f.nextPoll().value();
        CHECK(again.acknowledgedEnd.value == 2);
        f.answerPoll(again);
        // The tasks are started again, so the worker is polled; it may have restarted meanwhile.
        f.now += std::chrono::seconds(3);
        for (const auto& start : f.plan().starts)
            f.accept(start);
        CHECK(f.nextPoll().value().acknowledgedEnd.value == 0);
    }
}

TEST_CASE("A worker has restarted also when it states an earlier start than before", "[dispatch][restart]")
{
    restart_fixture f;
    f.accept(f.starts[0]);
    f.incarnationStartedAt = { 900 };
    f.answerPoll(f.nextPoll().value(), { f.listed(f.starts[0]) });
    CHECK(f.count(Dispatch::dispatch_event_kind::WorkerRestarted) == 1);
    CHECK(f.dispatcher.workers().at({ "w1" }).entry.incarnationStartedAt == Common::wall_millis { 900 });
    CHECK(f.runs().at(f.starts[0].task).phase == Dispatch::run_phase::Running);
}
