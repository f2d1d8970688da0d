#include "../Dispatch/DispatcherFixture.h"
#include "Capacity/CapacityPlanner.h"

#include <catch2/catch.hpp>

using Capacity::instance_outcome;
using Capacity::instance_state;
using Dispatch::end_kind;

namespace {

/// Two pools of workers and a spare pool; the test plays the instance manager.
struct capacity_fixture : dispatcher_fixture {
    capacity_fixture()
    {
        rules.pools = { { .id = { "pool" } }, { .id = { "other" } }, { .id = { "spare" }, .isSpare = true } };
        rules.queues.push_back(
            { .id = { "queue2" }, .host = "h", .pathPrefix = "/r/", .pool = { "other" }, .maxAttempts = 2 });
        dispatcher.setRules(rules);
        planner.setRules(rules);
    }

    void addInstance(const std::string& id, const std::string& pool)
    {
        Capacity::instance_entry entry { .id = { id },
            .pool = { pool },
            .dataCentre = { "dc" },
            .capacity = { .processor = { 8000 }, .memory = { 100000 } } };
        if (pool != "spare") {
            entry.worker = { "w" + id };
            auto registered = worker("w" + id);
            registered.pool = { pool };
            join(registered);
        }
        instances.push_back(entry);
    }

    void list() { planner.onList(instances, dispatcher, now, now, wall()); }

    Capacity::capacity_orders planFleet()
    {
        now += stepTime;
        return planner.plan(dispatcher, now, wall());
    }

    /// The worker reports the capacity, and the next list shows it too.
    void resize(const std::string& id, std::int64_t cores)
    {
        for (auto& entry : instances) {
            if (entry.id.value != id)
                continue;
            entry.capacity.processor = { cores * 1000 };
            auto registered = worker(entry.worker.value, cores);
            registered.pool = entry.pool;
            dispatcher.workerRegistered(registered, now, now);
        }
        now += stepTime;
        list();
    }

    /// Plans until no more moves are ordered, carries them out, and returns how many there were.
    int settle()
    {
        int count = 0;
        for (int turn = 0; turn < 400; ++turn) {
            plan();
            for (const auto& order : planFleet().moves) {
                ++count;
                planner.onMove(order, instance_outcome::Done, dispatcher, now);
                carryOut(order);
            }
        }
        return count;
    }

    void carryOut(const Capacity::move_order& order)
    {
        for (auto& entry : instances) {
            if (entry.id != order.instance)
                continue;
            entry.pool = order.pool;
            entry.worker = {};
            if (order.pool.value != "spare") {
                entry.worker = { "w" + entry.id.value };
                auto registered = worker(entry.worker.value);
                registered.pool = order.pool;
                join(registered);
            }
        }
        now += stepTime;
        list();
    }

    std::vector<Capacity::instance_entry> instances;
    Capacity::capacity_planner planner { Capacity::sizer_options {
        .headroom = 0, .reserve = 0, .unknownDemandHold = Common::millis(0) } };
};

Jobs::step_spec longRunningStep(int count, int budget)
{
    auto step = dispatcher_fixture::step(count);
    step.isLongRunning = true;
    step.maxPerWorker = 1;
    step.disruptionBudget = budget;
    return step;
}

}

TEST_CASE("A wave maintains idle instances at once, up to the number that may be down", "[capacity]")
{
    capacity_fixture f;
    for (const auto* id : { "1", "2", "3" })
        f.addInstance(id, "spare");
    f.addInstance("p", "pool");
    f.addInstance("o", "other");
    f.list();
    f.planner.setWaves({ { 1, { .number = 1, .instances = { { "1" }, { "2" }, { "3" } }, .duration = std::chrono::seconds(20), .maxConcurrent = 2 } } },
        f.now);
    const auto first = f.planFleet().maintenanceOrders;
    REQUIRE(first.size() == 2);
    CHECK(f.planFleet().maintenanceOrders.empty());
    for (const auto& order : first)
        f.planner.onMaintenance(order, instance_outcome::Done, f.now);

    SECTION("the next one begins when another is up again")
    {
        CHECK(f.planFleet().maintenanceOrders.empty());
        f.now += std::chrono::seconds(2);
        f.list();
        const auto second = f.planFleet().maintenanceOrders;
        REQUIRE(second.size() == 1);
        f.planner.onMaintenance(second[0], instance_outcome::Done, f.now);
        f.planFleet();
        const auto changes = f.planner.takeChanges();
        REQUIRE_FALSE(changes.empty());
        CHECK(changes.back().isCompleted);
    }
    SECTION("an instance whose order wasn't answered counts as down until the outcome is known")
    {
        f.now += std::chrono::seconds(2);
        f.list();
        const auto third = f.planFleet().maintenanceOrders;
        REQUIRE(third.size() == 1);
        f.planner.onMaintenance(third[0], instance_outcome::NoAnswer, f.now);
        f.planFleet();
        for (const auto& change : f.planner.takeChanges())
            CHECK_FALSE(change.isCompleted);
        f.now += std::chrono::seconds(1);
        CHECK(f.planFleet().maintenanceOrders.size() == 1);
    }
    SECTION("a later leader doesn't repeat maintenance that has begun")
    {
        Capacity::capacity_planner next { Capacity::sizer_options {} };
        next.setRules(f.rules);
        for (const auto& change : f.planner.takeChanges())
            next.restore(change);
        next.setWaves({ { 1, { .number = 1, .instances = { { "1" }, { "2" }, { "3" } }, .duration = std::chrono::seconds(20), .maxConcurrent = 3 } } },
            f.now);
        next.onList(f.instances, f.dispatcher, f.now, f.now, f.wall());
        const auto orders = next.plan(f.dispatcher, f.now, f.wall()).maintenanceOrders;
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].instance.value == "3");
    }
}

TEST_CASE("A wave drains workers within the disruption budgets of long-running tasks", "[capacity]")
{
    capacity_fixture f;
    f.addInstance("1", "pool");
    f.addInstance("2", "pool");
    f.addInstance("3", "pool");
    f.list();
    f.add(f.job("j", { longRunningStep(2, 1) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 2);
    for (const auto& start : starts) {
        f.accept(start);
        f.answerPoll(f.nextPoll(start.worker.id.value).value(), { f.listed(start, 100) });
    }
    f.planner.setWaves({ { 1, { .number = 1, .instances = { { "1" }, { "2" }, { "3" } }, .duration = std::chrono::seconds(20), .maxConcurrent = 8 } } },
        f.now);
    const auto idle = f.planFleet();
    CHECK(idle.maintenanceOrders.size() == 1);
    f.planFleet();
    CHECK(f.plan().stops.size() == 1);
}

TEST_CASE("Instances move to pools with waiting work, and to the spare pool when they aren't needed", "[capacity]")
{
    capacity_fixture f;
    f.addInstance("1", "pool");
    f.addInstance("2", "other");
    f.addInstance("3", "spare");
    f.list();

    SECTION("from the spare pool to a pool with waiting work")
    {
        f.add(f.job("j", { f.step(12) }));
        f.plan();
        const auto moves = f.planFleet().moves;
        REQUIRE_FALSE(moves.empty());
        CHECK(moves[0].pool.value == "pool");
    }
    SECTION("to the spare pool only after the delay")
    {
        f.addInstance("4", "pool");
        f.list();
        CHECK(f.planFleet().moves.empty());
        f.now += std::chrono::milliseconds(1100);
        const auto moves = f.planFleet().moves;
        REQUIRE_FALSE(moves.empty());
        CHECK(moves[0].pool.value == "spare");
    }
    SECTION("an unanswered move is retried")
    {
        f.add(f.job("j", { f.step(12) }));
        f.plan();
        const auto moves = f.planFleet().moves;
        REQUIRE_FALSE(moves.empty());
        f.planner.onMove(moves[0], instance_outcome::NoAnswer, f.dispatcher, f.now);
        CHECK(f.planFleet().moves.empty());
        f.now += std::chrono::milliseconds(500);
        const auto again = f.planFleet().moves;
        REQUIRE_FALSE(again.empty());
        CHECK(again[0].instance == moves[0].instance);
    }
}

TEST_CASE("When instances are scarce, they are divided and busy ones are drained for the pool that needs more",
    "[capacity]")
{
    capacity_fixture f;
    for (const auto* id : { "1", "2", "3", "4" })
        f.addInstance(id, "pool");
    f.addInstance("5", "other");
    f.list();
    // All instances of the first pool are busy for a long time.
    auto busy = f.job("j", { f.step(32) });
    busy.acceptedAt = f.wall();
    busy.spec.steps[0].estimate = std::chrono::seconds(60);
    f.add(busy);
    for (const auto& start : f.plan().starts)
        f.accept(start);
    auto waiting = f.job("k", { f.step(24) });
    waiting.queue = { "queue2" };
    waiting.acceptedAt = f.wall();
    waiting.spec.steps[0].estimate = std::chrono::seconds(60);
    f.add(waiting);
    f.plan();
    f.planFleet();
    int cordoned = 0;
    for (const auto& [id, worker] : f.dispatcher.workers())
        cordoned += worker.isCordoned && worker.entry.pool.value == "pool" ? 1 : 0;
    CHECK(cordoned >= 1);
    CHECK(cordoned < 4);
}

TEST_CASE("Before the first job nothing is known of what a pool will be asked for", "[capacity]")
{
    capacity_fixture f;
    f.planner = Capacity::capacity_planner { { .headroom = 0, .reserve = 0, .unknownDemandHold = std::chrono::seconds(30) } };
    f.planner.setRules(f.rules);
    for (const auto* id : { "1", "2", "3" })
        f.addInstance(id, "pool");
    f.addInstance("4", "other");
    f.addInstance("5", "spare");
    f.list();
    f.planFleet();
    f.now += std::chrono::milliseconds(1100);

    SECTION("so it keeps its instances") { CHECK(f.planFleet().moves.empty()); }
    SECTION("but gives them to a pool that needs them")
    {
        auto waiting = f.job("k", { f.step(24) });
        waiting.queue = { "queue2" };
        f.add(waiting);
        f.plan();
        const auto moves = f.planFleet().moves;
        CHECK(moves.size() == 3);
        CHECK(std::all_of(moves.begin(), moves.end(), [](const auto& move) { return move.pool.value == "other"; }));
    }
    SECTION("and releases them after a time")
    {
        f.now += std::chrono::seconds(30);
        f.planFleet();
        f.now += std::chrono::milliseconds(1100);
        CHECK(f.planFleet().moves.size() == 2);
    }
    SECTION("or once it was asked and needs fewer")
    {
        auto job = f.job("j", { f.step(1) });
        job.acceptedAt = f.wall();
        job.spec.steps[0].estimate = std::chrono::seconds(60);
        f.add(job);
        f.planFleet();
        f.now += std::chrono::milliseconds(1100);
        CHECK(f.planFleet().moves.size() == 2);
    }
}

TEST_CASE("What a pool is expected to need takes nothing from another one that needs it now", "[capacity]")
{
    capacity_fixture f;
    for (const auto* id : { "1", "2" })
        f.addInstance(id, "pool");
    for (const auto* id : { "3", "4" })
        f.addInstance(id, "other");
    f.list();
    const auto submit = [&f](const std::string& id, const std::string& queue, int count) {
        auto job = f.job(id, { f.step(count) });
        job.queue = { queue };
        job.acceptedAt = f.wall();
        job.spec.steps[0].estimate = std::chrono::seconds(60);
        f.add(job);
    };
    submit("busy", "queue2", 16);
    for (const auto& start : f.plan().starts)
        f.accept(start);
    // The other pool's demand rises within 0.4 s from 2 to 14 tasks of one core.
    for (int turn = 0; turn < 7; ++turn) {
        submit("rise" + std::to_string(turn), "queue", 2);
        f.now += std::chrono::milliseconds(60);
        CHECK(f.planFleet().moves.empty());
    }
    CHECK(f.planner.lastSurvey()[1].growth > 1.5);
    CHECK(std::none_of(f.dispatcher.workers().begin(), f.dispatcher.workers().end(),
        [](const auto& worker) { return worker.second.isCordoned; }));
}

TEST_CASE("A step whose tasks may not share a worker gets as many workers as it has tasks", "[capacity]")
{
    capacity_fixture f;
    f.addInstance("1", "pool");
    f.addInstance("2", "other");
    for (const auto* id : { "3", "4", "5", "6" })
        f.addInstance(id, "spare");
    f.list();
    // By their processors, one worker would do for all three.
    f.add(f.job("j", { longRunningStep(3, 1) }));
    f.plan();
    CHECK(f.settle() == 2);
    CHECK(f.planner.lastSurvey()[1].pool.value == "pool");
    CHECK(f.planner.lastSurvey()[1].present == 3);
    SECTION("A finished job needs none")
    {
        f.dispatcher.cancelJob({ "j" });
        f.planFleet();
        CHECK(f.planner.lastSurvey()[1].demand.workersForSpread == 0);
    }
}

TEST_CASE("Sizes of pools follow the capacities of their workers", "[capacity]")
{
    capacity_fixture f;
    f.addInstance("1", "pool");
    f.addInstance("2", "pool");
    f.addInstance("3", "other");
    f.addInstance("4", "spare");
    f.addInstance("5", "spare");
    f.list();
    auto job = f.job("j", { longRunningStep(16, 1) });
    job.spec.steps[0].maxPerWorker = 0;
    f.add(job);
    f.plan();
    REQUIRE(f.settle() == 0);

    SECTION("one that has shrunk to 0 is replaced once")
    {
        f.resize("2", 0);
        CHECK(f.settle() == 1);
    }
    SECTION("whatever its place in the list")
    {
        f.resize("1", 0);
        CHECK(f.settle() == 1);
    }
    SECTION("one that has shrunk to an eighth too")
    {
        f.resize("2", 1);
        CHECK(f.settle() == 1);
    }
    SECTION("all of them")
    {
        f.resize("1", 0);
        f.resize("2", 0);
        CHECK(f.settle() == 2);
    }
    SECTION("and none when it has grown again")
    {
        f.resize("2", 0);
        f.resize("2", 8);
        CHECK(f.settle() == 0);
    }
}
