#include "Core/Fleet/FleetFixture.h"

#include "Membership/LeaseTracker.h"
#include "Membership/ShardPlan.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Membership::timing limits;

}

TEST_CASE("A daemon acts only under a lease and with a fresh view")
{
    Testing::fleet_fixture fleet;
    fleet.join("a", 1);
    Membership::lease_tracker leases({ "a" }, limits, start);
    CHECK_FALSE(leases.mayAct(start));
    leases.onRenewalAppended({ 0 }, start);
    leases.onState(fleet.state, start + millis(100));
    leases.onViewConfirmed(start);

    SECTION("the lease counts from when the renewal was sent, not from its answer")
    {
        leases.onViewConfirmed(start + limits.lease);
        CHECK(leases.mayAct(start + limits.lease - millis(1)));
        CHECK_FALSE(leases.mayAct(start + limits.lease));
    }
    SECTION("a stale view stops it before the lease expires")
    {
        CHECK(leases.mayActUntil() == start + limits.freshness);
    }
    SECTION("it doesn't act after its process was paused")
    {
        CHECK_FALSE(leases.mayAct(start + std::chrono::minutes(5)));
    }
    SECTION("a renewal that was appended but not yet applied doesn't extend the lease")
    {
        leases.onViewConfirmed(start + millis(3000));
        leases.onRenewalAppended({ 7 }, start + millis(3000));
        CHECK(leases.mayActUntil() == start + limits.lease);
        fleet.apply(Fleet::renew_member { { "b" } });
        leases.onState(fleet.state, start + millis(3100));
        CHECK(leases.mayActUntil() == start + limits.lease);
    }
    SECTION("it stops at once when it was removed")
    {
        fleet.apply(Fleet::leave_member { { "a" } });
        leases.onState(fleet.state, start + millis(200));
        CHECK_FALSE(leases.mayAct(start + millis(200)));
    }
    SECTION("others treat its lease as expired only after the margin")
    {
        Membership::lease_tracker observer({ "b" }, limits, start);
        observer.onState(fleet.state, start);
        CHECK_FALSE(observer.hasExpired({ "a" }, start + limits.lease + limits.margin));
        CHECK(observer.hasExpired({ "a" }, start + limits.lease + limits.margin + millis(1)));
        fleet.apply(Fleet::renew_member { { "a" } });
        observer.onState(fleet.state, start + limits.lease);
        CHECK_FALSE(observer.hasExpired({ "a" }, start + limits.lease + limits.margin + millis(1)));
    }
}

TEST_CASE("Shards are distributed over the members")
{
    Testing::fleet_fixture fleet;
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    const auto claimsOfA = Membership::shardsToClaim(fleet.state, { "a" });
    const auto claimsOfB = Membership::shardsToClaim(fleet.state, { "b" });

    SECTION("each shard without a holder is claimed by exactly one member")
    {
        CHECK(claimsOfA.size() + claimsOfB.size() == Fleet::neededShards(fleet.state).size());
        CHECK_FALSE(claimsOfA.empty());
        CHECK_FALSE(claimsOfB.empty());
    }
    SECTION("a retiring member claims no shard and releases those it holds")
    {
        for (const auto& shard : claimsOfA)
            fleet.claim(shard.value, "a");
        fleet.apply(Fleet::retire_member { { "a" } });
        const Membership::lease_tracker leases({ "a" }, limits, start);
        CHECK(Membership::shardsToClaim(fleet.state, { "a" }).empty());
        CHECK(Membership::shardsToRelease(fleet.state, { "a" }, leases, limits, start).size() == claimsOfA.size());
    }
    SECTION("shards move to a new member only after the settle time")
    {
        for (const auto& shard : claimsOfA)
            fleet.claim(shard.value, "b");
        Membership::lease_tracker leases({ "b" }, limits, start);
        leases.onState(fleet.state, start);
        CHECK(Membership::shardsToRelease(fleet.state, { "b" }, leases, limits, start).empty());
        CHECK(Membership::shardsToRelease(fleet.state, { "b" }, leases, limits, start + limits.settle).size() == claimsOfA.size());
    }
}
