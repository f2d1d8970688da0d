#include "Core/Fleet/FleetFixture.h"

#include "Roster/LeaseKeeper.h"
#include "Roster/ShardPlan.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Roster::timing limits;

}

TEST_CASE("A daemon acts only under a lease and with a fresh view")
{
    Testing::fleet_under_test fleet;
    fleet.join("a", 1);
    Roster::lease_keeper keeper({ "a" }, limits, start);
    CHECK_FALSE(keeper.mayAct(start));
    keeper.onRenewalTaken({ 0 }, start);
    keeper.onState(fleet.state, start + millis(100));
    keeper.onViewConfirmed(start);

    SECTION("the lease counts from when the renewal was sent, not from its answer")
    {
        keeper.onViewConfirmed(start + limits.lease);
        CHECK(keeper.mayAct(start + limits.lease - millis(1)));
        CHECK_FALSE(keeper.mayAct(start + limits.lease));
    }
    SECTION("a view that grows old stops it before the lease does")
    {
        CHECK(keeper.actsUntil() == start + limits.freshness);
    }
    SECTION("after a pause it doesn't act on what it knew before")
    {
        CHECK_FALSE(keeper.mayAct(start + std::chrono::minutes(5)));
    }
    SECTION("a renewal that was taken but not yet applied renews nothing")
    {
        keeper.onViewConfirmed(start + millis(3000));
        keeper.onRenewalTaken({ 7 }, start + millis(3000));
        CHECK(keeper.actsUntil() == start + limits.lease);
        fleet.apply(Fleet::renew_member { { "b" } });
        keeper.onState(fleet.state, start + millis(3100));
        CHECK(keeper.actsUntil() == start + limits.lease);
    }
    SECTION("once it was removed, it stops at once")
    {
        fleet.apply(Fleet::leave_member { { "a" } });
        keeper.onState(fleet.state, start + millis(200));
        CHECK_FALSE(keeper.mayAct(start + millis(200)));
    }
    SECTION("others call its lease lapsed only after it surely is")
    {
        Roster::lease_keeper observer({ "b" }, limits, start);
        observer.onState(fleet.state, start);
        CHECK_FALSE(observer.hasLapsed({ "a" }, start + limits.lease + limits.margin));
        CHECK(observer.hasLapsed({ "a" }, start + limits.lease + limits.margin + millis(1)));
        fleet.apply(Fleet::renew_member { { "a" } });
        observer.onState(fleet.state, start + limits.lease);
        CHECK_FALSE(observer.hasLapsed({ "a" }, start + limits.lease + limits.margin + millis(1)));
    }
}

TEST_CASE("Shards spread over the members")
{
    Testing::fleet_under_test fleet;
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    const auto ofA = Roster::shardsToClaim(fleet.state, { "a" });
    const auto ofB = Roster::shardsToClaim(fleet.state, { "b" });

    SECTION("each shard without a holder has exactly one that claims it")
    {
        CHECK(ofA.size() + ofB.size() == Fleet::neededShards(fleet.state).size());
        CHECK_FALSE(ofA.empty());
        CHECK_FALSE(ofB.empty());
    }
    SECTION("a retiring member gets none and gives up what it has")
    {
        for (const auto& shard : ofA)
            fleet.claim(shard.value, "a");
        fleet.apply(Fleet::retire_member { { "a" } });
        const Roster::lease_keeper keeper({ "a" }, limits, start);
        CHECK(Roster::shardsToClaim(fleet.state, { "a" }).empty());
        CHECK(Roster::shardsToRelease(fleet.state, { "a" }, keeper, limits, start).size() == ofA.size());
    }
    SECTION("shards move to a new member only after it has stayed a while")
    {
        for (const auto& shard : ofA)
            fleet.claim(shard.value, "b");
        Roster::lease_keeper keeper({ "b" }, limits, start);
        keeper.onState(fleet.state, start);
        CHECK(Roster::shardsToRelease(fleet.state, { "b" }, keeper, limits, start).empty());
        CHECK(Roster::shardsToRelease(fleet.state, { "b" }, keeper, limits, start + limits.settle).size() == ofA.size());
    }
}
