#include "Core/Fleet/FleetFixture.h"

#include "Limits/PermitCache.h"
#include "Limits/TeamLedger.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Common::team_id team { "day" };
constexpr millis orphanedTaskTimeout { 2800 };

Common::slot_count slots(std::int64_t count)
{
    return { count };
}

}

TEST_CASE("No team runs more tasks than its upper limit over all daemons")
{
    Testing::fleet_fixture fleet;
    fleet.addTeam("day", 100, 6);
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    const auto shard = Fleet::ledgerShard(team);
    const Common::shard_epoch epoch { 10 };
    Limits::team_ledger ledger({ .shard = shard, .epoch = epoch, .orphanedTaskTimeout = orphanedTaskTimeout }, fleet.state);
    Limits::permit_cache cacheA({ "a" });
    Limits::permit_cache cacheB({ "b" });
    const auto exchange = [&](Limits::permit_cache& cache, Common::instant now) {
        if (const auto grant = ledger.onReport(cache.makeReport(shard, epoch), fleet.state, now))
            cache.onGrant(*grant);
    };

    SECTION("a new ledger grants nothing until every member has reported")
    {
        cacheA.addWaiting(team, slots(4));
        exchange(cacheA, start);
        CHECK(cacheA.allowance(team) == slots(0));
        exchange(cacheB, start);
        exchange(cacheA, start);
        CHECK(cacheA.allowance(team) == slots(4));
    }
    exchange(cacheA, start);
    exchange(cacheB, start);

    SECTION("daemons that want more than the limit share it evenly and never exceed it")
    {
        cacheA.addWaiting(team, slots(9));
        exchange(cacheA, start);
        CHECK(cacheA.allowance(team) == slots(6));
        cacheB.addWaiting(team, slots(9));
        exchange(cacheB, start);
        CHECK(cacheB.allowance(team) == slots(0));
        exchange(cacheA, start);
        CHECK(cacheA.allowance(team) == slots(6));
        // The target of A is now half the limit; A returns the rest with its next report.
        exchange(cacheA, start);
        exchange(cacheB, start);
        CHECK(cacheA.allowance(team) == slots(3));
        CHECK(cacheB.allowance(team) == slots(3));
        CHECK(ledger.grantedPermits(team) <= slots(6));
    }
    SECTION("a report older than the last one is ignored")
    {
        cacheA.addWaiting(team, slots(2));
        const auto early = cacheA.makeReport(shard, epoch);
        exchange(cacheA, start);
        CHECK_FALSE(ledger.onReport(early, fleet.state, start));
        CHECK(ledger.grantedPermits(team) == slots(2));
    }
    SECTION("the answer to an older report grants no permits")
    {
        cacheA.addWaiting(team, slots(5));
        const auto grant = ledger.onReport(cacheA.makeReport(shard, epoch), fleet.state, start);
        REQUIRE(grant);
        const auto newer = cacheA.makeReport(shard, epoch);
        cacheA.onGrant(*grant);
        CHECK(cacheA.allowance(team) == slots(0));
        CHECK_FALSE(cacheA.tryAcquire(team));
    }
    SECTION("permits of a lost daemon count until its tasks are known to have ended")
    {
        cacheA.addWaiting(team, slots(6));
        exchange(cacheA, start);
        fleet.apply(Fleet::leave_member { { "a" } });
        ledger.onMemberRemoved({ "a" }, false, start);
        cacheB.addWaiting(team, slots(6));
        exchange(cacheB, start + orphanedTaskTimeout - millis(1));
        CHECK(cacheB.allowance(team) == slots(0));
        exchange(cacheB, start + orphanedTaskTimeout);
        CHECK(cacheB.allowance(team) == slots(6));
    }
    SECTION("permits of a daemon that left with no task running are free at once")
    {
        cacheA.addWaiting(team, slots(6));
        exchange(cacheA, start);
        fleet.apply(Fleet::leave_member { { "a" } });
        ledger.onMemberRemoved({ "a" }, true, start);
        cacheB.addWaiting(team, slots(6));
        exchange(cacheB, start);
        CHECK(cacheB.allowance(team) == slots(6));
    }
    SECTION("a new holder of the ledger counts what the daemons still use")
    {
        cacheA.addWaiting(team, slots(4));
        exchange(cacheA, start);
        for (int task = 0; task < 4; ++task)
            REQUIRE(cacheA.tryAcquire(team));
        cacheA.addWaiting(team, slots(-4));
        const Common::shard_epoch next { 20 };
        Limits::team_ledger second(
            { .shard = shard,
                .epoch = next,
                .orphanedTaskTimeout = orphanedTaskTimeout,
                .noGrantsBefore = start + orphanedTaskTimeout },
            fleet.state);
        cacheB.addWaiting(team, slots(6));
        const auto early = second.onReport(cacheB.makeReport(shard, next), fleet.state, start);
        REQUIRE(early);
        cacheB.onGrant(*early);
        CHECK(cacheB.allowance(team) == slots(0));
        cacheA.onGrant(*second.onReport(cacheA.makeReport(shard, next), fleet.state, start));
        const auto later = second.onReport(cacheB.makeReport(shard, next), fleet.state, start + orphanedTaskTimeout);
        cacheB.onGrant(*later);
        CHECK(cacheB.allowance(team) == slots(2));

        SECTION("and late grants of the old holder are ignored")
        {
            cacheA.addWaiting(team, slots(6));
            const auto stale = cacheA.makeReport(shard, epoch);
            (void)cacheA.makeReport(shard, next);
            if (const auto late = ledger.onReport(stale, fleet.state, start))
                cacheA.onGrant(*late);
            CHECK(cacheA.allowance(team) == slots(4));
        }
    }
    SECTION("after the limit was lowered, tasks end and no new ones start in their place")
    {
        cacheA.addWaiting(team, slots(6));
        exchange(cacheA, start);
        for (int task = 0; task < 6; ++task)
            REQUIRE(cacheA.tryAcquire(team));
        fleet.apply(Fleet::publish_template { .account = { "account-day" },
            .expected = { 1 },
            .fields = { .teams = { { .team = team, .upperLimit = Common::slot_count { 2 } } } } });
        exchange(cacheA, start);
        cacheA.release(team);
        CHECK_FALSE(cacheA.tryAcquire(team));
    }
    SECTION("idle permits are returned within a few reports")
    {
        cacheA.addWaiting(team, slots(6));
        exchange(cacheA, start);
        REQUIRE(cacheA.tryAcquire(team));
        cacheA.addWaiting(team, slots(-6));
        cacheA.release(team);
        for (int round = 0; round < 4; ++round) {
            cacheA.decayPeaks();
            exchange(cacheA, start);
        }
        CHECK(ledger.grantedPermits(team) == slots(0));
    }
}
