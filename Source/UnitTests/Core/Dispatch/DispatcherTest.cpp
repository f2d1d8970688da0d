#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

using Dispatch::end_kind;
using Dispatch::order_outcome;
using Jobs::job_state;

TEST_CASE("A job runs its steps in order and is completed once the log has it", "[dispatch]")
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
        const auto look = f.nextLook();
        REQUIRE(look);
        f.look(*look, { f.listed(first[1]) }, { f.ended(first[0], end_kind::Done) });
        CHECK(f.plan().starts.empty());
    }
    SECTION("and runs after them, once the log has the ends and the placement")
    {
        const auto look = f.nextLook();
        REQUIRE(look);
        f.look(*look, {}, { f.ended(first[0], end_kind::Done), f.ended(first[1], end_kind::Done) });
        f.isStored = false;
        CHECK(f.plan().starts.empty());
        const auto ends = f.dispatcher.takeCommit();
        REQUIRE(ends.progress.size() == 1);
        CHECK(ends.progress[0].state == job_state::Running);
        CHECK(f.plan().starts.empty());
        auto before = f.nextLook();
        CHECK((!before || before->noted.value == 0));
        f.dispatcher.onCommitted(ends, f.now);
        f.isStored = true;
        const auto second = f.plan().starts;
        REQUIRE(second.size() == 1);
        CHECK(second[0].task.step == 1);
        f.accept(second[0]);

        SECTION("ends are acknowledged to the worker only after they are stored")
        {
            const auto after = f.nextLook();
            REQUIRE(after);
            CHECK(after->noted.value == 2);
        }
        SECTION("the job is completed with its last end")
        {
            const auto last = f.nextLook();
            REQUIRE(last);
            f.look(*last, {}, { f.ended(second[0], end_kind::Done) });
            const auto batch = f.dispatcher.takeCommit();
            REQUIRE(batch.progress.size() == 1);
            CHECK(batch.progress[0].state == job_state::Completed);
            f.dispatcher.onCommitted(batch, f.now);
            CHECK_FALSE(f.dispatcher.hasJob({ "j" }));
        }
    }
}

TEST_CASE("A failed end that an earlier holder has counted isn't counted again", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    const Jobs::job_progress known { .state = job_state::Running,
        .tasks = { { .occurrence = 0, .step = 0, .index = 0, .failedRuns = { 1 } } } };
    f.dispatcher.workerListed(f.worker("w1"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }), known);
    const auto look = f.nextLook();
    REQUIRE(look);
    f.look(*look, {}, { { .number = { 1 }, .task = { { "j" }, 0, 0, 0 }, .run = { 1 }, .kind = end_kind::Failed } });
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.value == 1001);
}

TEST_CASE("A new holder looks at all workers of a pool before it starts what may run there", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    f.dispatcher.workerListed(f.worker("w1"), f.now, f.now);
    f.dispatcher.workerListed(f.worker("w2"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }), { .state = job_state::Running });
    const auto holds = f.plan().holds;
    REQUIRE(holds.size() == 2);
    CHECK_FALSE(holds[0].deadline);
    f.look(holds[0]);
    CHECK(f.plan().starts.empty());

    SECTION("what runs there is taken over")
    {
        f.look(holds[1], { { .task = { { "j" }, 0, 0, 0 }, .run = { 3 }, .percent = { 50 } } });
        CHECK(f.plan().starts.empty());
        CHECK(f.dispatcher.workers().at({ "w2" }).runs.size() == 1);
    }
    SECTION("what runs nowhere is started")
    {
        f.look(holds[1]);
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("a worker that doesn't answer keeps the pool closed until its lease is surely over")
    {
        f.dispatcher.onHold(holds[1], { .base = f.reply(order_outcome::NoAnswer) }, f.now, f.now);
        f.now += std::chrono::seconds(9);
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::seconds(1);
        CHECK(f.plan().starts.size() == 1);
    }
}

TEST_CASE("A start without an answer is settled before the task is started elsewhere", "[dispatch]")
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

    SECTION("a stop that was taken bars the run for good")
    {
        auto taken = f.done();
        taken.outcome = order_outcome::Done;
        f.dispatcher.onStop(next.stops[0], taken, f.now);
        // A look that was sent before the worker carries the stop out proves nothing.
        f.look(f.nextLook().value());
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::milliseconds(250);
        f.look(f.nextLook().value());
        const auto again = f.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].run > start.run);
    }
    SECTION("without an answer to the stop it is tried again, until the lease is over")
    {
        f.dispatcher.onStop(next.stops[0], f.reply(order_outcome::NoAnswer), f.now);
        f.now += std::chrono::milliseconds(400);
        CHECK(f.plan().stops.size() == 1);
        CHECK(f.plan().starts.empty());
    }
}

TEST_CASE("A fence ends all orders", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.dispatcher.onStart(start, f.reply(order_outcome::Fenced), f.now);
    CHECK(f.dispatcher.isFenced());
    CHECK(f.plan().holds.empty());
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

TEST_CASE("A team's limit holds over tasks that are being stopped", "[dispatch]")
{
    dispatcher_fixture f;
    f.rules.teams[0].most.processor = { 2000 };
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

TEST_CASE("A worker with the same id and another birth runs nothing of before", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.accept(f.plan().starts.at(0));
    f.bornAt = { 2000 };
    const auto look = f.nextLook();
    REQUIRE(look);
    f.look(*look);
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.empty());
    CHECK(f.dispatcher.workers().at({ "w1" }).entry.bornAt.value == 2000);
}

TEST_CASE("A task that fails too often ends its job, on other workers first", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.join(f.worker("w2"));
    f.add(f.job("j", { f.step(1) }));
    const auto first = f.plan().starts.at(0);
    f.accept(first);
    f.look(f.nextLook(first.worker.id.value).value(), {}, { f.ended(first, end_kind::Failed) });
    const auto second = f.plan().starts.at(0);
    CHECK(second.worker.id != first.worker.id);
    f.accept(second);
    f.lastEnd = 0;
    f.look(f.nextLook(second.worker.id.value).value(), {}, { f.ended(second, end_kind::Failed) });
    const auto batch = f.dispatcher.takeCommit();
    REQUIRE(batch.progress.size() == 1);
    CHECK(batch.progress[0].state == job_state::Failed);
}

TEST_CASE("Failed ends count once each, in whatever order they are listed", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    f.dispatcher.workerListed(f.worker("w1"), f.now, f.now);
    f.dispatcher.workerListed(f.worker("w2"), f.now, f.now);
    f.add(f.job("j", { f.step(1) }));
    const Jobs::task_name task { { "j" }, 0, 0, 0 };
    f.look(f.nextLook("w2").value(), {}, { { .number = { 1 }, .task = task, .run = { 2 }, .kind = end_kind::Failed } });
    f.look(f.nextLook("w1").value(), {}, { { .number = { 1 }, .task = task, .run = { 1 }, .kind = end_kind::Failed } });
    const auto batch = f.dispatcher.takeCommit();
    REQUIRE(batch.progress.size() == 1);
    CHECK(batch.progress[0].state == job_state::Failed);
    CHECK(f.plan().starts.empty());
}

TEST_CASE("A holder without the store goes on as long as the next one surely waits", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.accept(start);
    f.look(f.nextLook().value(), { f.listed(start) });
    f.isConfirmed = false;
    f.standing.isInDoubt = true;
    f.openLooks.clear();
    const auto outlast = f.standing.confirmedUntil + std::chrono::milliseconds(9500);

    SECTION("its leases end before that at the latest")
    {
        f.now = f.standing.confirmedUntil + std::chrono::seconds(5);
        const auto look = f.nextLook();
        REQUIRE(look);
        REQUIRE(look->deadline);
        const auto lapse = f.now + std::chrono::milliseconds(look->deadline->value) - f.dispatcherClock("w1");
        CHECK(lapse <= outlast);
    }
    SECTION("near the end it starts nothing and extends nothing")
    {
        f.now = outlast - std::chrono::seconds(1);
        f.add(f.job("k", { f.step(1) }));
        CHECK(f.plan().starts.empty());
        const auto look = f.nextLook();
        REQUIRE(look);
        CHECK_FALSE(look->deadline);
    }
    SECTION("a lease that it can't extend proves nothing, since another holder may extend it")
    {
        f.isConfirmed = true;
        f.join(f.worker("w2"));
        f.isConfirmed = false;
        f.now = f.standing.confirmedUntil + std::chrono::seconds(5);
        f.dispatcher.onHold(f.nextLook(start.worker.id.value).value(), { .base = f.reply(order_outcome::NoAnswer) }, f.now, f.now);
        f.now += std::chrono::seconds(4);
        CHECK(f.plan().starts.empty());
        CHECK(f.dispatcher.workers().at(start.worker.id).runs.size() == 1);
    }
    SECTION("jobs that came later are left to the next holder, unless the log takes their placements")
    {
        f.isStored = false;
        f.now = f.standing.confirmedUntil + std::chrono::seconds(1);
        f.add(f.job("k", { f.step(1) }));
        CHECK(f.plan().starts.empty());
    }
}

TEST_CASE("A new holder waits for workers that haven't registered", "[dispatch]")
{
    dispatcher_fixture f;
    Dispatch::dispatcher fresh({ .token = { 9 } }, f.now, f);
    fresh.setRules(f.rules);
    fresh.addJob(f.job("j", { f.step(1) }), { .job = { "j" }, .state = job_state::Running }, f.now);
    fresh.workerListed(f.worker("w1"), f.now, f.now);
    const auto plan = [&] {
        const Dispatch::seat_standing standing { .isHeld = true, .confirmedUntil = f.now + std::chrono::seconds(1) };
        f.now += std::chrono::milliseconds(10);
        auto orders = fresh.plan(f.now, { 0 }, standing);
        fresh.onCommitted(fresh.takeCommit(), f.now);
        const auto starts = fresh.plan(f.now, { 0 }, standing).starts;
        orders.starts.insert(orders.starts.end(), starts.begin(), starts.end());
        return orders;
    };
    const auto holds = plan().holds;
    REQUIRE(holds.size() == 1);
    auto answer = f.done();
    answer.outcome = order_outcome::Done;
    fresh.onHold(holds[0], { .base = answer }, f.now, f.now);

    SECTION("nothing is started before the instances are known")
    {
        CHECK(plan().starts.empty());
    }
    SECTION("an unregistered worker may run the task until its lease is over")
    {
        fresh.setRoster({ { { "w1" }, { "pool" } }, { { "w2" }, { "pool" } } }, f.now, f.now, f.wall());
        CHECK(plan().starts.empty());
        f.now += std::chrono::seconds(10);
        CHECK(plan().starts.size() == 1);
    }
    SECTION("with all workers known the task is started")
    {
        fresh.setRoster({ { { "w1" }, { "pool" } } }, f.now, f.now, f.wall());
        CHECK(plan().starts.size() == 1);
    }
}

TEST_CASE("A silent worker that no instance runs has ended", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.join(f.worker("w2"));
    f.add(f.job("j", { f.step(1) }));
    const auto start = f.plan().starts.at(0);
    f.accept(start);
    const auto id = start.worker.id;
    f.now += std::chrono::milliseconds(2500);
    f.dispatcher.onHold(f.nextLook(id.value).value(), { .base = f.reply(order_outcome::NoAnswer) }, f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.dispatcher.setRoster({ { { id.value == "w1" ? "w2" : "w1" }, { "pool" } } }, f.now, f.now, f.wall());
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("A new holder doesn't wait for registered workers whose instances have moved", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    f.dispatcher.workerListed(f.worker("w1"), f.now, f.now);
    f.dispatcher.workerListed(f.worker("moved"), f.now - std::chrono::seconds(3), f.now);
    f.add(f.job("j", { f.step(1) }), { .state = job_state::Running });
    f.look(f.nextLook("w1").value());
    f.dispatcher.onHold(f.nextLook("moved").value(), { .base = f.reply(order_outcome::NotSent) }, f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.dispatcher.setRoster({ { { "w1" }, { "pool" } } }, f.now, f.now, f.wall());
    CHECK(f.plan().starts.size() == 1);
}
