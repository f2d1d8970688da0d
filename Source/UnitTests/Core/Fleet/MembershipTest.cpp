#include "Core/Fleet/FleetFixture.h"

#include "Fleet/MembershipRules.h"

#include <catch2/catch.hpp>

using Fleet::rejection;

TEST_CASE("Daemons join, renew and leave through the log")
{
    Testing::fleet_fixture fleet;
    REQUIRE(fleet.join("a", 1) == rejection::None);
    REQUIRE(fleet.join("b", 2, { { "a" } }) == rejection::None);
    REQUIRE(fleet.join("c", 3, { { "a" }, { "b" } }) == rejection::None);

    SECTION("a join without a majority is rejected")
    {
        CHECK(fleet.join("d", 4, { { "a" } }) == rejection::NoMajority);
        CHECK(fleet.state.members.size() == 3);
    }
    SECTION("of two concurrent joins the second is rejected as stale")
    {
        const auto version = fleet.state.membershipVersion;
        CHECK(fleet.join("d", 4, { { "a" }, { "b" } }) == rejection::None);
        CHECK(fleet.reason(Fleet::join_member { .info = { .process = { "e" }, .peers = { "127.0.0.1", 5 } },
                  .version = version,
                  .backers = { { "a" }, { "b" } } })
            == rejection::StaleMembership);
    }
    SECTION("a daemon on the address of a dead one replaces it and gets none of its shards")
    {
        fleet.claim("pool:p", "b");
        CHECK(fleet.join("b2", 2, { { "a" }, { "c" } }) == rejection::None);
        CHECK_FALSE(fleet.state.members.contains({ "b" }));
        CHECK(fleet.state.shards.empty());
    }
    SECTION("a removal is rejected once the member has renewed")
    {
        const auto before = fleet.state.members.at({ "c" }).renewed;
        fleet.apply(Fleet::renew_member { { "c" } });
        CHECK(fleet.reason(Fleet::expire_member {
                  .process = { "c" }, .renewed = before, .backers = { { "a" }, { "b" } } })
            == rejection::Renewed);
    }
    SECTION("a removal needs a majority of the other members")
    {
        const auto renewed = fleet.state.members.at({ "c" }).renewed;
        CHECK(fleet.reason(Fleet::expire_member { .process = { "c" }, .renewed = renewed, .backers = { { "a" } } })
            == rejection::NoMajority);
        CHECK(fleet.reason(Fleet::expire_member {
                  .process = { "c" }, .renewed = renewed, .backers = { { "a" }, { "b" } } })
            == rejection::None);
    }
    SECTION("when all members are gone, a daemon joins without votes")
    {
        CHECK(fleet.join("x", 9, {}, { { "a" }, { "b" }, { "c" } }) == rejection::None);
    }
    SECTION("a shard has one holder, and its epoch grows")
    {
        const auto first = fleet.claim("pool:p", "a");
        CHECK(fleet.reason(Fleet::claim_shard { .shard = { "pool:p" }, .process = { "b" } }) == rejection::ShardHeld);
        CHECK(fleet.reason(Fleet::release_shard { .shard = { "pool:p" }, .process = { "a" }, .epoch = { 999 } })
            == rejection::StaleEpoch);
        CHECK(fleet.reason(Fleet::release_shard { .shard = { "pool:p" }, .process = { "a" }, .epoch = first })
            == rejection::None);
        CHECK(fleet.claim("pool:p", "b") > first);
    }
    SECTION("a daemon that isn't a member can't claim a shard")
    {
        CHECK(fleet.reason(Fleet::claim_shard { .shard = { "pool:p" }, .process = { "z" } }) == rejection::NotMember);
    }
}
