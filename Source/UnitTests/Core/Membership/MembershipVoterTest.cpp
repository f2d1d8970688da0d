#include "Core/Fleet/FleetFixture.h"

#include "Membership/LeaseTracker.h"
#include "Membership/MembershipVoter.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Membership::timing limits;

}

TEST_CASE("Without the log, only members with the promises of a majority go on")
{
    Testing::fleet_fixture fleet;
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    fleet.join("c", 3, { { "a" }, { "b" } });
    Membership::membership_voter voter({ "b" }, limits);
    const Membership::promise_request promise { .asker = { "a" },
        .version = fleet.state.membershipVersion,
        .applied = fleet.state.applied };
    const Membership::vote_request removal { .target = { "a" },
        .renewed = fleet.state.members.at({ "a" }).renewed,
        .version = fleet.state.membershipVersion };

    SECTION("a promise is granted only by a member without the log, to one whose state is as new")
    {
        CHECK_FALSE(voter.grantPromise(promise, fleet.state, false, start));
        auto older = promise;
        older.applied = { fleet.state.applied.value - 1 };
        CHECK_FALSE(voter.grantPromise(older, fleet.state, true, start));
        auto otherVersion = promise;
        otherVersion.version.value -= 1;
        CHECK_FALSE(voter.grantPromise(otherVersion, fleet.state, true, start));
        CHECK(voter.grantPromise(promise, fleet.state, true, start));
    }
    SECTION("a member that promised votes for no removal until the promise expires")
    {
        REQUIRE(voter.grantPromise(promise, fleet.state, true, start));
        CHECK_FALSE(voter.grantVote(removal, fleet.state, true, start + limits.promise - millis(1)));
        CHECK(voter.grantVote(removal, fleet.state, true, start + limits.promise));
    }
    SECTION("a member that voted for a removal promises nothing to its target until the target has renewed")
    {
        REQUIRE(voter.grantVote(removal, fleet.state, true, start));
        CHECK_FALSE(voter.grantPromise(promise, fleet.state, true, start + std::chrono::hours(1)));
        fleet.apply(Fleet::renew_member { { "a" } });
        auto later = promise;
        later.applied = fleet.state.applied;
        CHECK(voter.grantPromise(later, fleet.state, true, start + std::chrono::hours(1)));
    }
    SECTION("a member that voted for a removal promises nothing to other members under that membership either")
    {
        const Membership::vote_request removalOfC { .target = { "c" },
            .renewed = fleet.state.members.at({ "c" }).renewed,
            .version = fleet.state.membershipVersion };
        REQUIRE(voter.grantVote(removalOfC, fleet.state, true, start));
        CHECK_FALSE(voter.grantPromise(promise, fleet.state, true, start + std::chrono::hours(1)));
    }
    SECTION("a member that promised to one member votes for no removal of another")
    {
        REQUIRE(voter.grantPromise(promise, fleet.state, true, start));
        const Membership::vote_request removalOfC { .target = { "c" },
            .renewed = fleet.state.members.at({ "c" }).renewed,
            .version = fleet.state.membershipVersion };
        CHECK_FALSE(voter.grantVote(removalOfC, fleet.state, true, start));
    }
    SECTION("a member doesn't vote for a removal unless it saw the lease expire itself")
    {
        CHECK_FALSE(voter.grantVote(removal, fleet.state, false, start));
    }
    SECTION("a member with an active promise doesn't vote for a join, nor promises after such a vote")
    {
        const Membership::vote_request join { .version = fleet.state.membershipVersion };
        SECTION("promise before the vote")
        {
            REQUIRE(voter.grantPromise(promise, fleet.state, true, start));
            CHECK_FALSE(voter.grantVote(join, fleet.state, false, start));
        }
        SECTION("vote before the promise")
        {
            REQUIRE(voter.grantVote(join, fleet.state, false, start));
            CHECK_FALSE(voter.grantPromise(promise, fleet.state, true, start));
        }
    }
    SECTION("a member acts on the promises of a majority, counted from the start of the round")
    {
        Membership::lease_tracker leases({ "a" }, limits, start);
        const auto outage = start + millis(5000);
        leases.beginPromiseRound(fleet.state, outage);
        leases.onPromiseGranted({ "a" }, fleet.state);
        CHECK_FALSE(leases.mayAct(outage));
        leases.onPromiseGranted({ "b" }, fleet.state);
        CHECK(leases.mayActUntil() == outage + limits.promise - limits.margin);
    }
    SECTION("a member that promised to itself votes for no join meanwhile")
    {
        Membership::membership_voter selfVoter({ "a" }, limits);
        REQUIRE(selfVoter.grantPromise(promise, fleet.state, true, start));
        CHECK_FALSE(selfVoter.grantVote({ .version = fleet.state.membershipVersion }, fleet.state, false, start));
    }
    SECTION("a member that reaches the log makes no promise to itself")
    {
        Membership::membership_voter selfVoter({ "a" }, limits);
        CHECK_FALSE(selfVoter.grantPromise(promise, fleet.state, false, start));
    }
}
