#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

using Dispatch::end_kind;
using Dispatch::order_outcome;
using Jobs::job_state;

TEST_CASE("A job runs its steps in order and is completed once that is stored in the log", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(2), f.step(1, 1000, { 0 }) }));
    const auto first = f.plan().starts;
    REQUIRE(first.size() == 2);
    for (const auto& order : first)
        f.accept(order);

    SECTION("the second step waits for all tasks of the first")
    {
        const auto poll = f.nextPoll();
        REQUIRE(poll);
        f.answerPoll(*poll, { f.listed(first[1]) }, { f.ended(first[0], end_kind::Done) });
        CHECK(f.plan().starts.empty());
    }
    SECTION("and runs after them, once the ends and the placement are stored")
    {
        const auto poll = f.nextPoll();
        REQUIRE(poll);
        f.answerPoll(*poll, {}, { f.ended(first[0], end_kind::Done), f.ended(first[1], end_kind::Done) });
        f.isStored = false;
        CHECK(f.plan().starts.empty());
        const auto ends = f.dispatcher.takeCommit();
        REQUIRE(ends.progress.size() == 1);
        CHECK(ends.progress[0].state == job_state::Running);
        CHECK(f.plan().starts.empty());
        auto before = f.nextPoll();
        CHECK((!before || before->acknowledgedEnd.value == 0));
        f.dispatcher.onCommitted(ends, f.now);
        f.isStored = true;
        const auto second = f.plan().starts;
        REQUIRE(second.size() == 1);
        CHECK(second[0].task.step == 1);
        f.accept(second[0]);

        SECTION("ends are acknowledged to the worker only after they are stored")
        {
            const auto after = f.nextPoll();
            REQUIRE(after);
            CHECK(after->acknowledgedEnd.value == 2);
        }
        SECTION("the job is completed with its last end")
        {
            const auto last = f.nextPoll();
            REQUIRE(last);
            f.answerPoll(*last, {}, { f.ended(second[0], end_kind::Done) });
            const auto batch = f.dispatcher.takeCommit();
            REQUIRE(batch.progress.size() == 1);
            CHECK(batch.progress[0].state == job_state::Completed);
            f.dispatcher.onCommitted(batch, f.now);
            CHECK_FALSE(f.dispatcher.hasJob({ "j" }));
        }
    }
}

TEST_CASE("A failure that an earlier leader has counted isn't counted again", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    const Jobs::job_progress known { .state = job_state::Running,
        .tasks = { { .occurrence = 0, .step = 0, .index = 0, .failedRuns = { 1 } } } };
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }), known);
    const auto poll = f.nextPoll();
    REQUIRE(poll);
    f.answerPoll(*poll, {}, { { .number = { 1 }, .task = { { "j" }, 0, 0, 0 }, .run = { 1 }, .kind = end_kind::Failed } });
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.value == 1001);
}

TEST_CASE("A new leader polls all workers of a pool before it starts tasks that may be running there", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.dispatcher.workerRegistered(f.worker("w2"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }), { .state = job_state::Running });
    const auto polls = f.plan().polls;
    REQUIRE(polls.size() == 2);
    CHECK_FALSE(polls[0].deadline);
    f.answerPoll(polls[0]);
    CHECK(f.plan().starts.empty());

    SECTION("a running task is adopted")
    {
        f.answerPoll(polls[1], { { .task = { { "j" }, 0, 0, 0 }, .run = { 3 }, .percent = { 50 } } });
        CHECK(f.plan().starts.empty());
        CHECK(f.dispatcher.workers().at({ "w2" }).runs.size() == 1);
    }
    SECTION("a task that runs nowhere is started")
    {
        f.answerPoll(polls[1]);
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("an unresponsive worker blocks starts in the pool until its lease has certainly expired")
    {
        f.dispatcher.onPollReply(polls[1], { .base = f.reply(order_outcome::NoAnswer) }, f.now, f.now);
        f.now += std::chrono::seconds(9);
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::seconds(1);
        CHECK(f.plan().starts.size() == 1);
    }
}

TEST_CASE("A task whose start wasn't answered isn't started elsewhere before the outcome is known", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.join(f.worker("w2"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.dispatcher.onStart(start, f.reply(order_outcome::NoAnswer), f.now);
    const auto next = f.plan();
    CHECK(next.starts.empty());
    REQUIRE(next.stops.size() == 1);
    CHECK(next.stops[0].run == start.run);

    SECTION("an accepted stop ends the run for good")
    {
        auto accepted = f.done();
        accepted.outcome = order_outcome::Done;
        f.dispatcher.onStop(next.stops[0], accepted, f.now);
        // The reply to a poll that was sent before the worker carries out the stop proves nothing.
        f.answerPoll(f.nextPoll().value());
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::milliseconds(250);
        f.answerPoll(f.nextPoll().value());
        const auto again = f.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].run > start.run);
    }
    SECTION("an unanswered stop is retried until the lease has expired")
    {
        f.dispatcher.onStop(next.stops[0], f.reply(order_outcome::NoAnswer), f.now);
        f.now += std::chrono::milliseconds(400);
        CHECK(f.plan().stops.size() == 1);
        CHECK(f.plan().starts.empty());
    }
}

TEST_CASE("A fenced leader sends no more orders", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.dispatcher.onStart(start, f.reply(order_outcome::Fenced), f.now);
    CHECK(f.dispatcher.isFenced());
    CHECK(f.plan().polls.empty());
}

TEST_CASE("A cancelled job is stopped and stays cancelled", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.accept(start);
    f.dispatcher.cancelJob({ "j" });
    CHECK(f.plan().stops.size() == 1);
    const auto batch = f.dispatcher.takeCommit();
    REQUIRE(batch.progress.size() == 1);
    CHECK(batch.progress[0].state == job_state::Cancelled);
}

TEST_CASE("A team's limit also counts tasks that are being stopped", "[dispatch]")
{
    dispatcher_fixture f;
    f.rules.teams[0].limit.processor = { 2000 };
    f.dispatcher.setRules(f.rules);
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(2) }));
    f.add(f.job("k", { f.step(1) }));
    const auto starts = f.plan().starts;
    CHECK(starts.size() == 2);
    for (const auto& start : starts)
        f.accept(start);
    f.dispatcher.cancelJob({ "j" });
    CHECK(f.plan().starts.empty());
}

TEST_CASE("A restarted worker with the same id runs none of its earlier tasks", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.accept(f.plan().starts.at(0));
    f.incarnationStartedAt = { 2000 };
    const auto poll = f.nextPoll();
    REQUIRE(poll);
    f.answerPoll(*poll);
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.empty());
    CHECK(f.dispatcher.workers().at({ "w1" }).entry.incarnationStartedAt.value == 2000);
}

TEST_CASE("A failed task is retried on another worker, and its job fails after too many failures", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.join(f.worker("w2"));
    f.add(f.job("j", { f.step(1) }));
    const auto first = f.plan().starts.at(0);
    f.accept(first);
    f.answerPoll(f.nextPoll(first.worker.id.value).value(), {}, { f.ended(first, end_kind::Failed) });
    const auto second = f.plan().starts.at(0);
    CHECK(second.worker.id != first.worker.id);
    f.accept(second);
    f.lastEnd = 0;
    f.answerPoll(f.nextPoll(second.worker.id.value).value(), {}, { f.ended(second, end_kind::Failed) });
    const auto batch = f.dispatcher.takeCommit();
    REQUIRE(batch.progress.size() == 1);
    CHECK(batch.progress[0].state == job_state::Failed);
}

TEST_CASE("Each failure counts once, in whatever order they are reported", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.dispatcher.workerRegistered(f.worker("w2"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }));
    const Jobs::task_name task { { "j" }, 0, 0, 0 };
    f.answerPoll(f.nextPoll("w2").value(), {}, { { .number = { 1 }, .task = task, .run = { 2 }, .kind = end_kind::Failed } });
    f.answerPoll(f.nextPoll("w1").value(), {}, { { .number = { 1 }, .task = task, .run = { 1 }, .kind = end_kind::Failed } });
    const auto batch = f.dispatcher.takeCommit();
    REQUIRE(batch.progress.size() == 1);
    CHECK(batch.progress[0].state == job_state::Failed);
    CHECK(f.plan().starts.empty());
}

TEST_CASE("A leader that can't reach the store goes on while the next one is certain to wait", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.accept(start);
    f.answerPoll(f.nextPoll().value(), { f.listed(start) });
    f.isConfirmed = false;
    f.status.isStoreUnresponsive = true;
    f.openPolls.clear();
    const auto latestExpiry = f.status.confirmedUntil + std::chrono::milliseconds(9500);

    SECTION("its leases end by then")
    {
        f.now = f.status.confirmedUntil + std::chrono::seconds(5);
        const auto poll = f.nextPoll();
        REQUIRE(poll);
        REQUIRE(poll->deadline);
        const auto expiry = f.now + std::chrono::milliseconds(poll->deadline->value) - f.estimatedClock("w1");
        CHECK(expiry <= latestExpiry);
    }
    SECTION("near the end it starts nothing and renews no lease")
    {
        f.now = latestExpiry - std::chrono::seconds(1);
        f.add(f.job("k", { f.step(1) }));
        CHECK(f.plan().starts.empty());
        const auto poll = f.nextPoll();
        REQUIRE(poll);
        CHECK_FALSE(poll->deadline);
    }
    SECTION("a lease that it can't renew isn't taken for expired, since another leader may renew it")
    {
        f.isConfirmed = true;
        f.join(f.worker("w2"));
        f.isConfirmed = false;
        f.now = f.status.confirmedUntil + std::chrono::seconds(5);
        f.dispatcher.onPollReply(f.nextPoll(start.worker.id.value).value(), { .base = f.reply(order_outcome::NoAnswer) }, f.now, f.now);
        f.now += std::chrono::seconds(4);
        CHECK(f.plan().starts.empty());
        CHECK(f.dispatcher.workers().at(start.worker.id).runs.size() == 1);
    }
    SECTION("jobs added later are left to the next leader, unless their placements are stored in the log")
    {
        f.isStored = false;
        f.now = f.status.confirmedUntil + std::chrono::seconds(1);
        f.add(f.job("k", { f.step(1) }));
        CHECK(f.plan().starts.empty());
    }
}

TEST_CASE("A new leader waits for workers that haven't registered", "[dispatch]")
{
    dispatcher_fixture f;
    Dispatch::dispatcher fresh({ .token = { 9 } }, f.now, f);
    fresh.setRules(f.rules);
    fresh.addJob(f.job("j", { f.step(1) }), { .job = { "j" }, .state = job_state::Running }, f.now);
    fresh.workerRegistered(f.worker("w1"), f.now, f.now);
    const auto plan = [&] {
        const Dispatch::leadership_status status { .isHeld = true, .confirmedUntil = f.now + std::chrono::seconds(1) };
        f.now += std::chrono::milliseconds(10);
        auto orders = fresh.plan(f.now, { 0 }, status);
        fresh.onCommitted(fresh.takeCommit(), f.now);
        const auto starts = fresh.plan(f.now, { 0 }, status).starts;
        orders.starts.insert(orders.starts.end(), starts.begin(), starts.end());
        return orders;
    };
    const auto polls = plan().polls;
    REQUIRE(polls.size() == 1);
    auto answer = f.done();
    answer.outcome = order_outcome::Done;
    fresh.onPollReply(polls[0], { .base = answer }, f.now, f.now);

    SECTION("nothing is started before the instances are known")
    {
        CHECK(plan().starts.empty());
    }
    SECTION("an unregistered worker may run the task until its lease has expired")
    {
        fresh.setInstanceWorkers({ { { "w1" }, { "pool" } }, { { "w2" }, { "pool" } } }, f.now, f.now, f.wall());
        CHECK(plan().starts.empty());
        f.now += std::chrono::seconds(10);
        CHECK(plan().starts.size() == 1);
    }
    SECTION("with all workers known the task is started")
    {
        fresh.setInstanceWorkers({ { { "w1" }, { "pool" } } }, f.now, f.now, f.wall());
        CHECK(plan().starts.size() == 1);
    }
}

TEST_CASE("An unresponsive worker that isn't in the list of instances has ended", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.join(f.worker("w2"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.accept(start);
    const auto id = start.worker.id;
    f.now += std::chrono::milliseconds(2500);
    f.dispatcher.onPollReply(f.nextPoll(id.value).value(), { .base = f.reply(order_outcome::NoAnswer) }, f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.dispatcher.setInstanceWorkers({ { { id.value == "w1" ? "w2" : "w1" }, { "pool" } } }, f.now, f.now, f.wall());
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("A new leader doesn't wait for registered workers whose instances have moved", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.dispatcher.workerRegistered(f.worker("moved"), f.now - std::chrono::seconds(3), f.now);
    f.add(f.job("j", { f.step(1) }), { .state = job_state::Running });
    f.answerPoll(f.nextPoll("w1").value());
    f.dispatcher.onPollReply(f.nextPoll("moved").value(), { .base = f.reply(order_outcome::NotSent) }, f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.dispatcher.setInstanceWorkers({ { { "w1" }, { "pool" } } }, f.now, f.now, f.wall());
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("Starts beyond what may be sent stay planned, up to a limit", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(8) }));
    f.dispatcher.limitStarts({ .room = 2, .plannedPerPool = 4 });
    const auto first = f.plan().starts;
    CHECK(first.size() == 2);
    // The step that crosses the limit is planned completely.
    CHECK(f.dispatcher.backlog(f.now).startsWaiting == 6);
    f.add(f.job("k", { f.step(1, 0) }));
    f.plan();
    CHECK(f.dispatcher.backlog(f.now).tasksWaiting == 1);

    SECTION("a planned start is sent when there is room again")
    {
        f.dispatcher.limitStarts({ .room = 10, .plannedPerPool = 4 });
        CHECK(f.plan().starts.size() == 6);
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("and isn't sent when its job is cancelled before")
    {
        f.dispatcher.cancelJob({ "j" });
        f.dispatcher.limitStarts({ .room = 10, .plannedPerPool = 4 });
        const auto later = f.plan().starts;
        CHECK(std::none_of(later.begin(), later.end(), [](const auto& order) { return order.task.job.value == "j"; }));
    }
}

TEST_CASE("A gang isn't split by the limit of starts", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    auto gang = f.step(4);
    gang.isGang = true;
    f.add(f.job("j", { gang }));
    f.dispatcher.limitStarts({ .room = 1 });
    CHECK(f.plan().starts.size() == 4);
}

TEST_CASE("The lease of a cancelled job's run isn't renewed before its stop is accepted", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.add(f.job("other", { f.step(1) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 2);
    for (const auto& order : starts)
        f.accept(order);
    const std::vector<Dispatch::listed_run> running { f.listed(starts[0]), f.listed(starts[1]) };
    auto poll = f.nextPoll();
    REQUIRE(poll);
    CHECK(poll->deadline);
    f.dispatcher.cancelJob({ "j" });
    const auto stops = f.plan().stops;
    REQUIRE(stops.size() == 1);
    f.answerPoll(*poll, running);

    SECTION("while the stop isn't answered")
    {
        poll = f.nextPoll();
        REQUIRE(poll);
        CHECK_FALSE(poll->deadline);
    }
    SECTION("but renewed again once the worker has accepted it")
    {
        auto accepted = f.done();
        accepted.outcome = order_outcome::Done;
        f.dispatcher.onStop(stops[0], accepted, f.now);
        poll = f.nextPoll();
        REQUIRE(poll);
        CHECK(poll->deadline);
    }
}
