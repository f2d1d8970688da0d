#include "Core/Fleet/FleetFixture.h"

#include "Limits/PermitWallet.h"
#include "Limits/TeamLedger.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Common::team_id team { "day" };
constexpr millis taskHold { 2800 };

Common::slot_count slots(std::int64_t count)
{
    return { count };
}

}

TEST_CASE("No team runs more than its upper limit, over all daemons together")
{
    Testing::fleet_under_test fleet;
    fleet.addTeam("day", 100, 6);
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    const auto shard = Fleet::ledgerShard(team);
    const Common::shard_epoch epoch { 10 };
    Limits::team_ledger ledger({ .shard = shard, .epoch = epoch, .taskHold = taskHold }, fleet.state);
    Limits::permit_wallet walletA({ "a" });
    Limits::permit_wallet walletB({ "b" });
    const auto exchange = [&](Limits::permit_wallet& wallet, Common::instant now) {
        if (const auto grant = ledger.onReport(wallet.makeReport(shard, epoch), fleet.state, now))
            wallet.onGrant(*grant);
    };

    SECTION("a new ledger grants nothing until every member has reported")
    {
        walletA.addWaiting(team, slots(4));
        exchange(walletA, start);
        CHECK(walletA.allowance(team) == slots(0));
        exchange(walletB, start);
        exchange(walletA, start);
        CHECK(walletA.allowance(team) == slots(4));
    }
    exchange(walletA, start);
    exchange(walletB, start);

    SECTION("daemons that want more than there is share it evenly, and never pass the limit")
    {
        walletA.addWaiting(team, slots(9));
        exchange(walletA, start);
        CHECK(walletA.allowance(team) == slots(6));
        walletB.addWaiting(team, slots(9));
        exchange(walletB, start);
        CHECK(walletB.allowance(team) == slots(0));
        exchange(walletA, start);
        CHECK(walletA.allowance(team) == slots(6));
        // The target it was told is half; what it can give up, it gives up with the next report.
        exchange(walletA, start);
        exchange(walletB, start);
        CHECK(walletA.allowance(team) == slots(3));
        CHECK(walletB.allowance(team) == slots(3));
        CHECK(ledger.permitsOut(team) <= slots(6));
    }
    SECTION("a report that was overtaken changes nothing")
    {
        walletA.addWaiting(team, slots(2));
        const auto early = walletA.makeReport(shard, epoch);
        exchange(walletA, start);
        CHECK_FALSE(ledger.onReport(early, fleet.state, start));
        CHECK(ledger.permitsOut(team) == slots(2));
    }
    SECTION("the answer to an overtaken report gives no permits")
    {
        walletA.addWaiting(team, slots(5));
        const auto grant = ledger.onReport(walletA.makeReport(shard, epoch), fleet.state, start);
        REQUIRE(grant);
        const auto newer = walletA.makeReport(shard, epoch);
        walletA.onGrant(*grant);
        CHECK(walletA.allowance(team) == slots(0));
        CHECK_FALSE(walletA.tryTake(team));
    }
    SECTION("permits of a lost daemon count until its tasks have surely ended")
    {
        walletA.addWaiting(team, slots(6));
        exchange(walletA, start);
        fleet.apply(Fleet::leave_member { { "a" } });
        ledger.onMemberRemoved({ "a" }, false, start);
        walletB.addWaiting(team, slots(6));
        exchange(walletB, start + taskHold - millis(1));
        CHECK(walletB.allowance(team) == slots(0));
        exchange(walletB, start + taskHold);
        CHECK(walletB.allowance(team) == slots(6));
    }
    SECTION("permits of a daemon that left with nothing running are free at once")
    {
        walletA.addWaiting(team, slots(6));
        exchange(walletA, start);
        fleet.apply(Fleet::leave_member { { "a" } });
        ledger.onMemberRemoved({ "a" }, true, start);
        walletB.addWaiting(team, slots(6));
        exchange(walletB, start);
        CHECK(walletB.allowance(team) == slots(6));
    }
    SECTION("a new holder of the ledger counts what the daemons still use")
    {
        walletA.addWaiting(team, slots(4));
        exchange(walletA, start);
        for (int task = 0; task < 4; ++task)
            REQUIRE(walletA.tryTake(team));
        walletA.addWaiting(team, slots(-4));
        const Common::shard_epoch next { 20 };
        Limits::team_ledger second(
            { .shard = shard, .epoch = next, .taskHold = taskHold, .holdUntil = start + taskHold }, fleet.state);
        walletB.addWaiting(team, slots(6));
        const auto early = second.onReport(walletB.makeReport(shard, next), fleet.state, start);
        REQUIRE(early);
        walletB.onGrant(*early);
        CHECK(walletB.allowance(team) == slots(0));
        walletA.onGrant(*second.onReport(walletA.makeReport(shard, next), fleet.state, start));
        const auto later = second.onReport(walletB.makeReport(shard, next), fleet.state, start + taskHold);
        walletB.onGrant(*later);
        CHECK(walletB.allowance(team) == slots(2));

        SECTION("and the old holder's late grants are refused")
        {
            walletA.addWaiting(team, slots(6));
            const auto stale = walletA.makeReport(shard, epoch);
            (void)walletA.makeReport(shard, next);
            if (const auto late = ledger.onReport(stale, fleet.state, start))
                walletA.onGrant(*late);
            CHECK(walletA.allowance(team) == slots(4));
        }
    }
    SECTION("a lowered limit lets tasks end and starts no new ones in their place")
    {
        walletA.addWaiting(team, slots(6));
        exchange(walletA, start);
        for (int task = 0; task < 6; ++task)
            REQUIRE(walletA.tryTake(team));
        fleet.apply(Fleet::publish_template { .account = { "account-day" },
            .expected = { 1 },
            .fields = { .teams = { { .team = team, .upperLimit = Common::slot_count { 2 } } } } });
        exchange(walletA, start);
        walletA.giveBack(team);
        CHECK_FALSE(walletA.tryTake(team));
    }
    SECTION("idle permits come back soon")
    {
        walletA.addWaiting(team, slots(6));
        exchange(walletA, start);
        REQUIRE(walletA.tryTake(team));
        walletA.addWaiting(team, slots(-6));
        walletA.giveBack(team);
        for (int round = 0; round < 4; ++round) {
            walletA.cool();
            exchange(walletA, start);
        }
        CHECK(ledger.permitsOut(team) == slots(0));
    }
}
