#include "Pool/PoolScheduler.h"

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
    MAKE_MOCK1(tryAcquire, bool(const Common::team_id&), override);
    MAKE_MOCK1(release, void(const Common::team_id&), override);
    MAKE_MOCK2(setWaiting, void(const Common::team_id&, Common::slot_count), override);
};

Pool::pool_scheduler::submitted_work workOf(const std::string& id, bool idempotent, std::int64_t ticket = 1)
{
    Requests::work_request request { .identity = { { "q" }, { "day" }, { id } },
        .idempotent = idempotent,
        .remaining = millis(1000),
        .payload = "p" };
    return { .request = request, .waiter = Pool::waiter_id { ticket } };
}

void addWorkers(Pool::pool_scheduler& scheduler, std::int64_t slots)
{
    std::vector<Pool::worker_info> workers;
    for (const char* name : { "w1", "w2" }) {
        workers.push_back({ .instance = { name }, .capacity = { .cores = { 8 } }, .slots = { slots }, .open = true });
    }
    scheduler.workers().setWorkers(workers);
    for (const auto& worker : workers)
        scheduler.workers().onReport(worker.instance, { .cores = { 0 } }, {}, false);
}

}

TEST_CASE("A pool queues, starts and completes requests")
{
    mock_permits permits;
    ALLOW_CALL(permits, setWaiting(_, _));
    Pool::pool_scheduler scheduler({ .pool = { "p" }, .epoch = { 1 }, .taskPrefix = "t", .maxWaitingPerTeam = 3 }, permits);
    addWorkers(scheduler, 1);

    SECTION("nothing starts without a permit")
    {
        REQUIRE_CALL(permits, tryAcquire(_)).RETURN(false);
        REQUIRE_FALSE(scheduler.submit(workOf("r1", true), start));
        scheduler.schedule(true, start);
        CHECK(scheduler.takeOrders().starts.empty());
    }
    SECTION("nothing starts while the daemon may not act")
    {
        FORBID_CALL(permits, tryAcquire(_));
        REQUIRE_FALSE(scheduler.submit(workOf("r1", true), start));
        scheduler.schedule(false, start);
        CHECK(scheduler.takeOrders().starts.empty());
    }
    SECTION("a request that waits past its deadline was certainly not run")
    {
        ALLOW_CALL(permits, tryAcquire(_)).RETURN(false);
        scheduler.submit(workOf("r1", true), start);
        scheduler.schedule(true, start + millis(1000));
        const auto orders = scheduler.takeOrders();
        REQUIRE(orders.completions.size() == 1);
        CHECK(orders.completions[0].result == Requests::notRun(refusal_reason::DeadlinePassed));
    }
    SECTION("a request that fits no worker is refused at once")
    {
        auto large = workOf("r1", true);
        large.request.needs.cores = { 9 };
        CHECK(scheduler.submit(large, start) == Requests::notRun(refusal_reason::NeverFits));
    }
    SECTION("the queue of a team is bounded")
    {
        for (const char* id : { "a", "b", "c" })
            REQUIRE_FALSE(scheduler.submit(workOf(id, true), start));
        CHECK(scheduler.submit(workOf("d", true), start) == Requests::notRun(refusal_reason::QueueFull));
    }

    ALLOW_CALL(permits, tryAcquire(_)).RETURN(true);
    ALLOW_CALL(permits, release(_));

    SECTION("an idempotent request starts, and each waiting caller gets the answer")
    {
        scheduler.submit(workOf("r1", true, 1), start);
        scheduler.submit(workOf("r1", true, 2), start);
        scheduler.schedule(true, start);
        const auto starts = scheduler.takeOrders().starts;
        REQUIRE(starts.size() == 1);
        scheduler.onStart(starts[0].task, Pool::start_result::Accepted, start);
        scheduler.onFinished(starts[0].task, Requests::done("x"), start + millis(10));
        const auto completed = scheduler.takeOrders().completions;
        REQUIRE(completed.size() == 1);
        CHECK(completed[0].waiters.size() == 2);
        CHECK(completed[0].result.answer == "x");
        CHECK_FALSE(completed[0].recordInLog);
        scheduler.onFinished(starts[0].task, Requests::done("again"), start + millis(20));
        CHECK(scheduler.takeOrders().completions.empty());
    }
    SECTION("a known id with another payload is refused")
    {
        scheduler.submit(workOf("r1", true), start);
        auto other = workOf("r1", true);
        other.request.payload = "other";
        CHECK(scheduler.submit(other, start) == Requests::notRun(refusal_reason::IdReused));
    }
    SECTION("an idempotent request that fails is retried on other workers, up to three attempts")
    {
        scheduler.submit(workOf("r1", true), start);
        std::set<Common::instance_id> used;
        for (int attempt = 0; attempt < 3; ++attempt) {
            scheduler.schedule(true, start);
            const auto starts = scheduler.takeOrders().starts;
            REQUIRE(starts.size() == 1);
            used.insert(starts[0].worker);
            scheduler.onFinished(starts[0].task, Requests::unknownOutcome(refusal_reason::WorkerFailed), start);
        }
        CHECK(used.size() == 2);
        const auto completed = scheduler.takeOrders().completions;
        REQUIRE(completed.size() == 1);
        CHECK(completed[0].result == Requests::unknownOutcome(refusal_reason::WorkerFailed));
    }
    SECTION("a request that must run at most once")
    {
        const auto identity = workOf("r1", false).request.identity;
        scheduler.submit(workOf("r1", false), start);
        scheduler.schedule(true, start);
        auto orders = scheduler.takeOrders();
        REQUIRE(orders.starts.empty());
        REQUIRE(orders.intents.size() == 1);
        const auto task = orders.intents[0].task;

        SECTION("starts only after its intent was applied")
        {
            scheduler.onIntentApplied(identity, start);
            CHECK(scheduler.takeOrders().starts.size() == 1);
            scheduler.onIntentApplied(identity, start);
            CHECK(scheduler.takeOrders().starts.empty());
        }
        SECTION("is completed as not run at its deadline, and isn't started if its intent is applied later")
        {
            scheduler.schedule(true, start + millis(1000));
            const auto completed = scheduler.takeOrders().completions;
            REQUIRE(completed.size() == 1);
            CHECK(completed[0].result == Requests::notRun(refusal_reason::LogUnavailable));
            scheduler.onIntentApplied(identity, start + millis(1001));
            CHECK(scheduler.takeOrders().starts.empty());
        }
        SECTION("is not retried after it was lost")
        {
            scheduler.onIntentApplied(identity, start);
            scheduler.onStart(task, Pool::start_result::Accepted, start);
            scheduler.onLost(task, start + millis(100));
            scheduler.schedule(true, start + millis(100));
            orders = scheduler.takeOrders();
            CHECK(orders.intents.empty());
            REQUIRE(orders.completions.size() == 1);
            CHECK(orders.completions[0].result.kind == outcome_kind::Unknown);
            CHECK(orders.completions[0].recordInLog);
        }
        SECTION("is started on another worker after a refusal")
        {
            scheduler.onIntentApplied(identity, start);
            const auto first = scheduler.takeOrders().starts.at(0);
            scheduler.onStart(first.task, Pool::start_result::Refused, start);
            scheduler.schedule(true, start);
            const auto second = scheduler.takeOrders().starts;
            REQUIRE(second.size() == 1);
            CHECK(second[0].worker != first.worker);
        }
        SECTION("is not retried while the outcome of its start is unknown")
        {
            scheduler.onIntentApplied(identity, start);
            (void)scheduler.takeOrders();
            scheduler.onStart(task, Pool::start_result::OutcomeUnknown, start);
            scheduler.schedule(true, start);
            CHECK(scheduler.takeOrders().starts.empty());
            CHECK_FALSE(scheduler.hasNoPendingStarts());
        }
    }
    SECTION("cancelling completes a waiting request, orders the worker to stop a started one, and tells whether the request certainly didn't run")
    {
        const auto work = workOf("r1", true);
        scheduler.submit(work, start);
        SECTION("before the start")
        {
            CHECK(scheduler.cancel(work.request.identity));
            CHECK(scheduler.takeOrders().completions.at(0).result == Requests::notRun(refusal_reason::Cancelled));
        }
        SECTION("after the start")
        {
            scheduler.schedule(true, start);
            scheduler.onStart(scheduler.takeOrders().starts.at(0).task, Pool::start_result::Accepted, start);
            CHECK_FALSE(scheduler.cancel(work.request.identity));
            CHECK(scheduler.takeOrders().stops.size() == 1);
        }
    }
    SECTION("close() redirects waiting callers and lets running tasks end")
    {
        scheduler.submit(workOf("r1", true, 1), start);
        scheduler.schedule(true, start);
        const auto task = scheduler.takeOrders().starts.at(0).task;
        scheduler.submit(workOf("r2", true, 2), start);
        scheduler.close();
        const auto completed = scheduler.takeOrders().completions;
        REQUIRE(completed.size() == 1);
        CHECK(completed[0].result == Requests::notRun(refusal_reason::HolderMoved));
        CHECK(scheduler.submit(workOf("r3", true), start) == Requests::notRun(refusal_reason::HolderMoved));
        scheduler.onFinished(task, Requests::done("x"), start);
        CHECK(scheduler.takeOrders().completions.at(0).result.answer == "x");
        CHECK(scheduler.isIdle());
    }
}
