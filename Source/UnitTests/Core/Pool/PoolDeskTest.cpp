#include "Pool/PoolDesk.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using Common::millis;
using Requests::outcome_kind;
using Requests::refusal_reason;
using trompeloeil::_; // NOLINT(bugprone-reserved-identifier)

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));

class mock_permits : public Pool::permit_source {
public:
    MAKE_MOCK1(tryTake, bool(const Common::team_id&), override);
    MAKE_MOCK1(giveBack, void(const Common::team_id&), override);
    MAKE_MOCK2(setWaiting, void(const Common::team_id&, Common::slot_count), override);
};

Pool::pool_desk::offered_work workOf(const std::string& id, bool idempotent, std::int64_t ticket = 1)
{
    Requests::work_request request { .identity = { { "q" }, { "day" }, { id } },
        .idempotent = idempotent,
        .remaining = millis(1000),
        .payload = "p" };
    return { .request = request, .ticket = Pool::waiter_ticket { ticket } };
}

void addWorkers(Pool::pool_desk& desk, std::int64_t slots)
{
    std::vector<Pool::worker_facts> facts;
    for (const char* name : { "w1", "w2" }) {
        facts.push_back({ .instance = { name }, .capacity = { .cores = { 8 } }, .slots = { slots }, .open = true });
    }
    desk.workers().setWorkers(facts);
    for (const auto& fact : facts)
        desk.workers().onReport(fact.instance, { .cores = { 0 } }, {}, false);
}

}

TEST_CASE("The holder of a pool sees requests through")
{
    mock_permits permits;
    ALLOW_CALL(permits, setWaiting(_, _));
    Pool::pool_desk desk({ .pool = { "p" }, .epoch = { 1 }, .taskPrefix = "t", .maxWaitingPerTeam = 3 }, permits);
    addWorkers(desk, 1);

    SECTION("nothing starts without a permit")
    {
        REQUIRE_CALL(permits, tryTake(_)).RETURN(false);
        REQUIRE_FALSE(desk.offer(workOf("r1", true), start));
        desk.pump(true, start);
        CHECK(desk.takeOrders().starts.empty());
    }
    SECTION("nothing starts while the daemon may not act")
    {
        FORBID_CALL(permits, tryTake(_));
        REQUIRE_FALSE(desk.offer(workOf("r1", true), start));
        desk.pump(false, start);
        CHECK(desk.takeOrders().starts.empty());
    }
    SECTION("a request that waits past its deadline was certainly not run")
    {
        ALLOW_CALL(permits, tryTake(_)).RETURN(false);
        desk.offer(workOf("r1", true), start);
        desk.pump(true, start + millis(1000));
        const auto orders = desk.takeOrders();
        REQUIRE(orders.settlements.size() == 1);
        CHECK(orders.settlements[0].result == Requests::notRun(refusal_reason::DeadlinePassed));
    }
    SECTION("what fits no worker is refused at once")
    {
        auto large = workOf("r1", true);
        large.request.needs.cores = { 9 };
        CHECK(desk.offer(large, start) == Requests::notRun(refusal_reason::NeverFits));
    }
    SECTION("the queue of a team is bounded")
    {
        for (const char* id : { "a", "b", "c" })
            REQUIRE_FALSE(desk.offer(workOf(id, true), start));
        CHECK(desk.offer(workOf("d", true), start) == Requests::notRun(refusal_reason::QueueFull));
    }

    ALLOW_CALL(permits, tryTake(_)).RETURN(true);
    ALLOW_CALL(permits, giveBack(_));

    SECTION("an idempotent request starts, and each that asked is told the answer")
    {
        desk.offer(workOf("r1", true, 1), start);
        desk.offer(workOf("r1", true, 2), start);
        desk.pump(true, start);
        const auto starts = desk.takeOrders().starts;
        REQUIRE(starts.size() == 1);
        desk.onStart(starts[0].task, Pool::start_result::Accepted, start);
        desk.onFinished(starts[0].task, Requests::done("x"), start + millis(10));
        const auto settled = desk.takeOrders().settlements;
        REQUIRE(settled.size() == 1);
        CHECK(settled[0].tickets.size() == 2);
        CHECK(settled[0].result.answer == "x");
        CHECK_FALSE(settled[0].record);
        desk.onFinished(starts[0].task, Requests::done("again"), start + millis(20));
        CHECK(desk.takeOrders().settlements.empty());
    }
    SECTION("the same id with another payload isn't the same request")
    {
        desk.offer(workOf("r1", true), start);
        auto other = workOf("r1", true);
        other.request.payload = "other";
        CHECK(desk.offer(other, start) == Requests::notRun(refusal_reason::IdReused));
    }
    SECTION("an idempotent request that fails is tried elsewhere, up to three times")
    {
        desk.offer(workOf("r1", true), start);
        std::set<Common::instance_id> used;
        for (int attempt = 0; attempt < 3; ++attempt) {
            desk.pump(true, start);
            const auto starts = desk.takeOrders().starts;
            REQUIRE(starts.size() == 1);
            used.insert(starts[0].worker);
            desk.onFinished(starts[0].task, Requests::unknownOutcome(refusal_reason::WorkerFailed), start);
        }
        CHECK(used.size() == 2);
        const auto settled = desk.takeOrders().settlements;
        REQUIRE(settled.size() == 1);
        CHECK(settled[0].result == Requests::unknownOutcome(refusal_reason::WorkerFailed));
    }
    SECTION("a request that must run at most once")
    {
        const auto identity = workOf("r1", false).request.identity;
        desk.offer(workOf("r1", false), start);
        desk.pump(true, start);
        auto orders = desk.takeOrders();
        REQUIRE(orders.starts.empty());
        REQUIRE(orders.intents.size() == 1);
        const auto task = orders.intents[0].task;

        SECTION("starts only after its intent stands")
        {
            desk.onIntentApplied(identity, start);
            CHECK(desk.takeOrders().starts.size() == 1);
            desk.onIntentApplied(identity, start);
            CHECK(desk.takeOrders().starts.empty());
        }
        SECTION("is certainly not run if its intent comes too late")
        {
            desk.pump(true, start + millis(1000));
            const auto settled = desk.takeOrders().settlements;
            REQUIRE(settled.size() == 1);
            CHECK(settled[0].result == Requests::notRun(refusal_reason::LogUnavailable));
            desk.onIntentApplied(identity, start + millis(1001));
            CHECK(desk.takeOrders().starts.empty());
        }
        SECTION("is never tried again after it was lost")
        {
            desk.onIntentApplied(identity, start);
            desk.onStart(task, Pool::start_result::Accepted, start);
            desk.onLost(task, start + millis(100));
            desk.pump(true, start + millis(100));
            orders = desk.takeOrders();
            CHECK(orders.intents.empty());
            REQUIRE(orders.settlements.size() == 1);
            CHECK(orders.settlements[0].result.kind == outcome_kind::Unknown);
            CHECK(orders.settlements[0].record);
        }
        SECTION("is tried elsewhere when the worker certainly refused it")
        {
            desk.onIntentApplied(identity, start);
            const auto first = desk.takeOrders().starts.at(0);
            desk.onStart(first.task, Pool::start_result::Refused, start);
            desk.pump(true, start);
            const auto second = desk.takeOrders().starts;
            REQUIRE(second.size() == 1);
            CHECK(second[0].worker != first.worker);
        }
        SECTION("isn't tried again while its start is unclear")
        {
            desk.onIntentApplied(identity, start);
            (void)desk.takeOrders();
            desk.onStart(task, Pool::start_result::Unclear, start);
            desk.pump(true, start);
            CHECK(desk.takeOrders().starts.empty());
            CHECK_FALSE(desk.hasSettledStarts());
        }
    }
    SECTION("cancelling is certain before the start, and a request to the worker after it")
    {
        const auto work = workOf("r1", true);
        desk.offer(work, start);
        SECTION("before")
        {
            CHECK(desk.cancel(work.request.identity));
            CHECK(desk.takeOrders().settlements.at(0).result == Requests::notRun(refusal_reason::Cancelled));
        }
        SECTION("after")
        {
            desk.pump(true, start);
            desk.onStart(desk.takeOrders().starts.at(0).task, Pool::start_result::Accepted, start);
            CHECK_FALSE(desk.cancel(work.request.identity));
            CHECK(desk.takeOrders().stops.size() == 1);
        }
    }
    SECTION("a planned stop sends waiting callers on and lets running tasks end")
    {
        desk.offer(workOf("r1", true, 1), start);
        desk.pump(true, start);
        const auto task = desk.takeOrders().starts.at(0).task;
        desk.offer(workOf("r2", true, 2), start);
        desk.close();
        const auto settled = desk.takeOrders().settlements;
        REQUIRE(settled.size() == 1);
        CHECK(settled[0].result == Requests::notRun(refusal_reason::HolderMoved));
        CHECK(desk.offer(workOf("r3", true), start) == Requests::notRun(refusal_reason::HolderMoved));
        desk.onFinished(task, Requests::done("x"), start);
        CHECK(desk.takeOrders().settlements.at(0).result.answer == "x");
        CHECK(desk.isIdle());
    }
}
