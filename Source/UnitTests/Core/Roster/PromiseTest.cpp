#include "Core/Fleet/FleetFixture.h"

#include "Roster/LeaseKeeper.h"
#include "Roster/PromiseBook.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Roster::timing limits;

}

TEST_CASE("Without the log, only members with the promises of a majority go on")
{
    Testing::fleet_under_test fleet;
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    fleet.join("c", 3, { { "a" }, { "b" } });
    Roster::promise_book voter({ "b" }, limits);
    const Roster::promise_request promise { .asker = { "a" },
        .version = fleet.state.membershipVersion,
        .applied = fleet.state.applied };
    const Roster::backing_request removal { .target = { "a" },
        .renewed = fleet.state.members.at({ "a" }).renewed,
        .version = fleet.state.membershipVersion };

    SECTION("a promise is granted only by a member without the log, to one whose state is as new")
    {
        CHECK_FALSE(voter.givePromise(promise, fleet.state, false, start));
        auto older = promise;
        older.applied = { fleet.state.applied.value - 1 };
        CHECK_FALSE(voter.givePromise(older, fleet.state, true, start));
        auto otherVersion = promise;
        otherVersion.version.value -= 1;
        CHECK_FALSE(voter.givePromise(otherVersion, fleet.state, true, start));
        CHECK(voter.givePromise(promise, fleet.state, true, start));
    }
    SECTION("a member that promised votes for no removal until the promise expires")
    {
        REQUIRE(voter.givePromise(promise, fleet.state, true, start));
        CHECK_FALSE(voter.giveBacking(removal, fleet.state, true, start + limits.promise - millis(1)));
        CHECK(voter.giveBacking(removal, fleet.state, true, start + limits.promise));
    }
    SECTION("a member that voted for a removal promises nothing to its target until the target has renewed")
    {
        REQUIRE(voter.giveBacking(removal, fleet.state, true, start));
        CHECK_FALSE(voter.givePromise(promise, fleet.state, true, start + std::chrono::hours(1)));
        fleet.apply(Fleet::renew_member { { "a" } });
        auto later = promise;
        later.applied = fleet.state.applied;
        CHECK(voter.givePromise(later, fleet.state, true, start + std::chrono::hours(1)));
    }
    SECTION("a member that voted for a removal promises nothing to other members under that membership either")
    {
        const Roster::backing_request removalOfC { .target = { "c" },
            .renewed = fleet.state.members.at({ "c" }).renewed,
            .version = fleet.state.membershipVersion };
        REQUIRE(voter.giveBacking(removalOfC, fleet.state, true, start));
        CHECK_FALSE(voter.givePromise(promise, fleet.state, true, start + std::chrono::hours(1)));
    }
    SECTION("a member that promised to one member votes for no removal of another")
    {
        REQUIRE(voter.givePromise(promise, fleet.state, true, start));
        const Roster::backing_request removalOfC { .target = { "c" },
            .renewed = fleet.state.members.at({ "c" }).renewed,
            .version = fleet.state.membershipVersion };
        CHECK_FALSE(voter.giveBacking(removalOfC, fleet.state, true, start));
    }
    SECTION("a member doesn't vote for a removal unless it saw the lease expire itself")
    {
        CHECK_FALSE(voter.giveBacking(removal, fleet.state, false, start));
    }
    SECTION("a member with an active promise doesn't vote for a join, nor promises after such a vote")
    {
        const Roster::backing_request join { .version = fleet.state.membershipVersion };
        SECTION("promise before the vote")
        {
            REQUIRE(voter.givePromise(promise, fleet.state, true, start));
            CHECK_FALSE(voter.giveBacking(join, fleet.state, false, start));
        }
        SECTION("vote before the promise")
        {
            REQUIRE(voter.giveBacking(join, fleet.state, false, start));
            CHECK_FALSE(voter.givePromise(promise, fleet.state, true, start));
        }
    }
    SECTION("a member acts on the promises of a majority, counted from the start of the round")
    {
        Roster::lease_keeper leases({ "a" }, limits, start);
        const auto outage = start + millis(5000);
        leases.beginPromiseRound(fleet.state, outage);
        leases.onPromiseGiven({ "a" }, fleet.state);
        CHECK_FALSE(leases.mayAct(outage));
        leases.onPromiseGiven({ "b" }, fleet.state);
        CHECK(leases.actsUntil() == outage + limits.promise - limits.margin);
    }
    SECTION("a member that promised to itself votes for no join meanwhile")
    {
        Roster::promise_book selfVoter({ "a" }, limits);
        REQUIRE(selfVoter.givePromise(promise, fleet.state, true, start));
        CHECK_FALSE(selfVoter.giveBacking({ .version = fleet.state.membershipVersion }, fleet.state, false, start));
    }
    SECTION("a member that reaches the log makes no promise to itself")
    {
        Roster::promise_book selfVoter({ "a" }, limits);
        CHECK_FALSE(selfVoter.givePromise(promise, fleet.state, false, start));
    }
}
