#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

using Dispatch::end_kind;
using Dispatch::order_outcome;
using Dispatch::run_phase;

namespace {

/// A worker has carried out a stop after this time.
constexpr std::chrono::milliseconds stopTime { 200 };

Jobs::resources roomFor(std::int64_t tasks)
{
    return { .processor = { tasks * 1000 }, .memory = { tasks * 10 }, .accelerators = { tasks } };
}

/// A worker with room for 8 tasks of `unitStep`; the test changes its capacity.
struct capacity_change_fixture : dispatcher_fixture {
    explicit capacity_change_fixture(std::int64_t token = 7, std::int64_t runBase = 0)
        : dispatcher_fixture(token, runBase)
    {
    }

    Dispatch::worker_entry sized(const std::string& id, const Jobs::resources& capacity) const
    {
        auto entry = worker(id);
        entry.capacity = capacity;
        entry.incarnationStartedAt = incarnationStartedAt;
        return entry;
    }

    void setCapacity(const std::string& id, const Jobs::resources& capacity)
    {
        dispatcher.workerRegistered(sized(id, capacity), now, now);
    }

    static Jobs::step_spec unitStep(int count)
    {
        auto step = dispatcher_fixture::step(count);
        step.request = roomFor(1);
        return step;
    }

    /// Runs `count` tasks of a new job.
    void run(const std::string& job, const Jobs::step_spec& step)
    {
        add(this->job(job, { step }));
        for (const auto& order : plan().starts) {
            accept(order);
            running.push_back(order);
        }
    }

    /// The worker reports that the first `count` of the running tasks ended.
    void finish(std::size_t count, const std::string& id = "w1")
    {
        const auto poll = nextPoll(id).value();
        std::vector<Dispatch::listed_end> ends;
        for (std::size_t index = 0; index < count; ++index)
            ends.push_back(ended(running[index], end_kind::Done));
        running.erase(running.begin(), running.begin() + static_cast<std::ptrdiff_t>(count));
        std::vector<Dispatch::listed_run> rest;
        for (const auto& order : running)
            rest.push_back(listed(order));
        answerPoll(poll, rest, ends);
    }

    Dispatch::poll_order openPoll(const std::string& id) const { return openPolls.at({ id }); }
    std::size_t runsOn(const std::string& id) const { return dispatcher.workers().at({ id }).runs.size(); }
    Jobs::resources freeOn(const std::string& id) const { return dispatcher.workers().at({ id }).free(); }

    static int countOn(const std::vector<Dispatch::start_order>& starts, const std::string& id)
    {
        return static_cast<int>(std::count_if(
            starts.begin(), starts.end(), [&id](const auto& order) { return order.worker.id.value == id; }));
    }

    std::vector<Dispatch::start_order> running;
};

}

TEST_CASE("A worker whose capacity has shrunk gets no starts before what runs there fits again", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    f.join(f.sized("w1", roomFor(8)));
    f.run("j", f.unitStep(6));
    REQUIRE(f.running.size() == 6);
    auto shrunk = roomFor(8);
    SECTION("of processor") { shrunk.processor = roomFor(4).processor; }
    SECTION("of memory") { shrunk.memory = roomFor(4).memory; }
    SECTION("of accelerators") { shrunk.accelerators = roomFor(4).accelerators; }
    SECTION("of everything") { shrunk = roomFor(4); }
    f.setCapacity("w1", shrunk);
    CHECK(f.freeOn("w1") == shrunk - roomFor(6));
    f.add(f.job("waiting", { f.unitStep(3) }));
    const auto orders = f.plan();
    CHECK(orders.starts.empty());
    CHECK(orders.stops.empty());
    f.finish(2);
    CHECK(f.plan().starts.empty());
    f.finish(1);
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("A capacity of 0 stops nothing and gets no starts", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    f.join(f.sized("w1", roomFor(8)));
    f.run("j", f.unitStep(2));
    f.setCapacity("w1", {});
    f.add(f.job("waiting", { f.unitStep(1) }));
    const auto orders = f.plan();
    CHECK(orders.starts.empty());
    CHECK(orders.stops.empty());
    CHECK(f.dispatcher.workers().at({ "w1" }).spareProcessor().value == -2000);

    SECTION("and a capacity that has grown is used at once")
    {
        f.setCapacity("w1", roomFor(3));
        CHECK(f.plan().starts.size() == 1);
    }
}

TEST_CASE("Best-effort tasks count with their memory, not with their processor", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    auto filling = f.unitStep(1);
    filling.request = { .processor = { 3000 }, .memory = { 10 } };
    filling.isBestEffort = true;
    f.join(f.sized("w1", { .processor = { 8000 }, .memory = { 40 } }));
    f.run("j", f.step(2));
    f.run("fill", filling);
    REQUIRE(f.running.size() == 3);
    f.add(f.job("next", { filling }));

    SECTION("processor that suffices for the others")
    {
        f.setCapacity("w1", { .processor = { 2000 }, .memory = { 40 } });
        CHECK(f.dispatcher.workers().at({ "w1" }).spareProcessor().value == -3000);
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("processor that doesn't suffice for the others")
    {
        f.setCapacity("w1", { .processor = { 1000 }, .memory = { 40 } });
        CHECK(f.plan().starts.empty());
    }
    SECTION("memory that is full with the best-effort task")
    {
        f.setCapacity("w1", { .processor = { 8000 }, .memory = { 30 } });
        CHECK(f.plan().starts.empty());
    }
}

TEST_CASE("Planned starts that no longer fit after the capacity has shrunk aren't sent", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    f.join(f.sized("w1", roomFor(8)));
    f.run("j", f.unitStep(1));
    f.isStored = false;
    f.add(f.job("planned", { f.unitStep(6) }));
    REQUIRE(f.plan().starts.empty());
    REQUIRE(f.runsOn("w1") == 7);
    const auto batch = f.dispatcher.takeCommit();

    SECTION("those that fit are sent")
    {
        f.setCapacity("w1", roomFor(3));
        f.dispatcher.onCommitted(batch, f.now);
        f.isStored = true;
        const auto orders = f.plan();
        CHECK(orders.starts.size() == 2);
        CHECK(orders.stops.empty());
        CHECK(f.runsOn("w1") == 3);
    }
    SECTION("none is sent while what runs doesn't fit")
    {
        f.setCapacity("w1", {});
        f.dispatcher.onCommitted(batch, f.now);
        f.isStored = true;
        CHECK(f.plan().starts.empty());
        CHECK(f.runsOn("w1") == 1);
        f.setCapacity("w1", roomFor(8));
        CHECK(f.plan().starts.size() == 6);
    }
    SECTION("the others go to another worker")
    {
        f.setCapacity("w1", roomFor(3));
        f.dispatcher.onCommitted(batch, f.now);
        f.isStored = true;
        f.dispatcher.workerRegistered(f.sized("w2", roomFor(8)), f.now, f.now);
        auto starts = f.plan().starts;
        f.answerPoll(f.openPoll("w2"));
        const auto more = f.plan().starts;
        starts.insert(starts.end(), more.begin(), more.end());
        CHECK(f.countOn(starts, "w1") == 2);
        CHECK(f.countOn(starts, "w2") == 4);
    }
    SECTION("also when they wait for room among unanswered starts")
    {
        f.dispatcher.limitStarts({ .room = 0 });
        f.dispatcher.onCommitted(batch, f.now);
        CHECK(f.turn().starts.empty());
        f.setCapacity("w1", roomFor(3));
        f.dispatcher.limitStarts({});
        CHECK(f.turn().starts.size() == 2);
    }
}

TEST_CASE("A planned gang that no longer fits is started completely elsewhere, or not at all", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    f.join(f.sized("w1", roomFor(4)));
    f.join(f.sized("w2", roomFor(4)));
    auto gang = f.unitStep(8);
    gang.isGang = true;
    f.isStored = false;
    f.add(f.job("gang", { gang }));
    f.plan();
    REQUIRE(f.runsOn("w1") == 4);
    REQUIRE(f.runsOn("w2") == 4);
    const auto batch = f.dispatcher.takeCommit();
    f.setCapacity("w1", roomFor(3));
    f.dispatcher.onCommitted(batch, f.now);
    f.isStored = true;
    CHECK(f.plan().starts.empty());
    CHECK(f.runsOn("w1") == 0);
    CHECK(f.runsOn("w2") == 0);

    SECTION("with a higher run number, once a worker with room has joined")
    {
        f.dispatcher.workerRegistered(f.sized("w3", roomFor(1)), f.now, f.now);
        f.plan();
        f.answerPoll(f.openPoll("w3"));
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 8);
        for (const auto& order : starts) {
            CHECK(order.run == starts[0].run);
            CHECK(order.run.value > batch.progress.at(0).tasks.at(0).run);
        }
    }
    SECTION("and single tasks use the room meanwhile")
    {
        f.add(f.job("single", { f.unitStep(3) }));
        CHECK(f.plan().starts.size() == 3);
    }
}

TEST_CASE("A new incarnation gets no starts before its own registration was read", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    f.join(f.sized("w1", roomFor(8)));
    f.run("j", f.unitStep(1));
    const auto old = f.sized("w1", roomFor(8));
    f.incarnationStartedAt = { 2000 };
    f.answerPoll(f.nextPoll().value());
    REQUIRE(f.dispatcher.workers().at({ "w1" }).hasReported);
    // Otherwise the worker would be on probation for the job that it crashed with.
    f.dispatcher.cancelJob({ "j" });
    f.add(f.job("waiting", { f.unitStep(6) }));
    CHECK(f.plan().starts.empty());
    f.dispatcher.workerRegistered(old, f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.setCapacity("w1", roomFor(3));
    CHECK(f.plan().starts.size() == 3);
}

TEST_CASE("A worker with a run of unknown size gets no starts before that run has ended", "[dispatch][capacity]")
{
    capacity_change_fixture f(20, 1000);
    f.dispatcher.workerRegistered(f.sized("w1", roomFor(8)), f.now, f.now);
    f.plan();
    const Dispatch::listed_run unknown { .task = { { "ended" }, 0, 0, 0 }, .run = { 3 }, .percent = { 10 } };
    f.answerPoll(f.openPoll("w1"), { unknown });
    f.add(f.job("waiting", { f.unitStep(8) }));
    const auto orders = f.plan();
    CHECK(orders.starts.empty());
    REQUIRE(orders.stops.size() == 1);

    SECTION("as its end is listed")
    {
        f.answerPoll(f.nextPoll().value(), { unknown });
        CHECK(f.plan().starts.empty());
        f.answerPoll(f.nextPoll().value(), {},
            { { .number = { 1 }, .task = unknown.task, .run = unknown.run, .kind = end_kind::Stopped } });
        CHECK(f.plan().starts.size() == 8);
    }
    SECTION("or the worker has accepted the stop and doesn't list it any more")
    {
        auto accepted = f.done();
        accepted.outcome = order_outcome::Done;
        f.dispatcher.onStop(orders.stops[0], accepted, f.now);
        f.answerPoll(f.nextPoll().value());
        CHECK(f.plan().starts.empty());
        f.now += stopTime;
        f.answerPoll(f.nextPoll().value());
        CHECK(f.plan().starts.size() == 8);
    }
}

TEST_CASE("A start without an answer counts until its stop is settled", "[dispatch][capacity]")
{
    capacity_change_fixture f;
    f.join(f.sized("w1", roomFor(2)));
    f.add(f.job("j", { f.unitStep(2) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 2);
    f.accept(starts[0]);
    f.dispatcher.onStart(starts[1], f.reply(order_outcome::NoAnswer), f.now);
    f.add(f.job("waiting", { f.unitStep(2) }));
    // The worker isn't avoided any more after this time.
    f.now += std::chrono::milliseconds(800);
    const auto orders = f.plan();
    CHECK(orders.starts.empty());
    REQUIRE(orders.stops.size() == 1);
    f.answerPoll(f.nextPoll().value(), { f.listed(starts[0]) });
    CHECK(f.plan().starts.empty());
    auto accepted = f.done();
    accepted.outcome = order_outcome::Done;
    f.dispatcher.onStop(orders.stops[0], accepted, f.now);

    SECTION("a poll that was sent while the run may still end doesn't settle it")
    {
        f.answerPoll(f.openPoll("w1"), { f.listed(starts[0]) });
        CHECK(f.freeOn("w1") == Jobs::resources {});
    }
    SECTION("a later poll does")
    {
        f.now += stopTime;
        f.answerPoll(f.nextPoll().value(), { f.listed(starts[0]) });
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("unless the run is listed")
    {
        f.now += stopTime;
        f.answerPoll(f.nextPoll().value(), { f.listed(starts[0]), f.listed(starts[1]) });
        CHECK(f.plan().starts.empty());
    }
}

TEST_CASE("A task isn't started on a worker on which an earlier run of it is being stopped", "[dispatch][capacity]")
{
    capacity_change_fixture f(20, 1000);
    const Jobs::task_name task { { "j" }, 0, 0, 0 };
    f.dispatcher.workerRegistered(f.sized("w1", roomFor(1)), f.now, f.now);
    f.dispatcher.workerRegistered(f.sized("w2", roomFor(2)), f.now, f.now);
    f.add(f.job("j", { f.unitStep(1) }),
        { .state = Jobs::job_state::Running,
            .tasks = { { .occurrence = 0, .step = 0, .index = 0, .worker = { "w1" }, .run = 7 } } });
    f.plan();
    f.answerPoll(f.openPoll("w2"), { { .task = task, .run = { 3 }, .percent = { 10 } } });
    REQUIRE(f.dispatcher.workers().at({ "w2" }).hasRunsIn(run_phase::Stopping));
    f.setCapacity("w1", {});
    f.answerPoll(f.openPoll("w1"));
    CHECK(f.plan().starts.empty());
    CHECK(f.dispatcher.workers().at({ "w2" }).runs.at(task).run.value == 3);
    f.answerPoll(f.nextPoll("w2").value(), {},
        { { .number = { 1 }, .task = task, .run = { 3 }, .kind = end_kind::Stopped } });
    CHECK(f.plan().starts.size() == 1);
}
