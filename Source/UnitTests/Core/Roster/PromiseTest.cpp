#include "Core/Fleet/FleetFixture.h"

#include "Roster/LeaseKeeper.h"
#include "Roster/PromiseBook.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Roster::timing limits;

}

TEST_CASE("Without the log, members that are together go on, and one that is alone doesn't")
{
    Testing::fleet_under_test fleet;
    fleet.join("a", 1);
    fleet.join("b", 2, { { "a" } });
    fleet.join("c", 3, { { "a" }, { "b" } });
    Roster::promise_book book({ "b" }, limits);
    const Roster::promise_request ask { .asker = { "a" },
        .version = fleet.state.membershipVersion,
        .applied = fleet.state.applied };
    const Roster::backing_request removal { .target = { "a" },
        .renewed = fleet.state.members.at({ "a" }).renewed,
        .version = fleet.state.membershipVersion };

    SECTION("a promise is given only by a member that lacks the log too, to one that knows as much")
    {
        CHECK_FALSE(book.givePromise(ask, fleet.state, false, start));
        auto older = ask;
        older.applied = { fleet.state.applied.value - 1 };
        CHECK_FALSE(book.givePromise(older, fleet.state, true, start));
        auto otherVersion = ask;
        otherVersion.version.value -= 1;
        CHECK_FALSE(book.givePromise(otherVersion, fleet.state, true, start));
        CHECK(book.givePromise(ask, fleet.state, true, start));
    }
    SECTION("who promised backs no removal until the promise is over")
    {
        REQUIRE(book.givePromise(ask, fleet.state, true, start));
        CHECK_FALSE(book.giveBacking(removal, fleet.state, true, start + limits.promise - millis(1)));
        CHECK(book.giveBacking(removal, fleet.state, true, start + limits.promise));
    }
    SECTION("who backed a removal promises nothing to its target until that has renewed")
    {
        REQUIRE(book.giveBacking(removal, fleet.state, true, start));
        CHECK_FALSE(book.givePromise(ask, fleet.state, true, start + std::chrono::hours(1)));
        fleet.apply(Fleet::renew_member { { "a" } });
        auto later = ask;
        later.applied = fleet.state.applied;
        CHECK(book.givePromise(later, fleet.state, true, start + std::chrono::hours(1)));
    }
    SECTION("who backed the removal of one member promises nothing to another under that membership either")
    {
        const Roster::backing_request ofC { .target = { "c" },
            .renewed = fleet.state.members.at({ "c" }).renewed,
            .version = fleet.state.membershipVersion };
        REQUIRE(book.giveBacking(ofC, fleet.state, true, start));
        CHECK_FALSE(book.givePromise(ask, fleet.state, true, start + std::chrono::hours(1)));
    }
    SECTION("who promised one member backs no removal of another")
    {
        REQUIRE(book.givePromise(ask, fleet.state, true, start));
        const Roster::backing_request ofC { .target = { "c" },
            .renewed = fleet.state.members.at({ "c" }).renewed,
            .version = fleet.state.membershipVersion };
        CHECK_FALSE(book.giveBacking(ofC, fleet.state, true, start));
    }
    SECTION("a removal without evidence of its own isn't backed")
    {
        CHECK_FALSE(book.giveBacking(removal, fleet.state, false, start));
    }
    SECTION("a newcomer isn't backed while a promise lives, nor a promise given after it was backed")
    {
        const Roster::backing_request join { .version = fleet.state.membershipVersion };
        SECTION("promise first")
        {
            REQUIRE(book.givePromise(ask, fleet.state, true, start));
            CHECK_FALSE(book.giveBacking(join, fleet.state, false, start));
        }
        SECTION("backing first")
        {
            REQUIRE(book.giveBacking(join, fleet.state, false, start));
            CHECK_FALSE(book.givePromise(ask, fleet.state, true, start));
        }
    }
    SECTION("a member acts on promises of more than half, counted from when it asked")
    {
        Roster::lease_keeper keeper({ "a" }, limits, start);
        const auto outage = start + millis(5000);
        keeper.beginPromiseRound(fleet.state, outage);
        keeper.onPromiseGiven({ "a" }, fleet.state);
        CHECK_FALSE(keeper.mayAct(outage));
        keeper.onPromiseGiven({ "b" }, fleet.state);
        CHECK(keeper.actsUntil() == outage + limits.promise - limits.margin);
    }
    SECTION("a member that promised itself backs no newcomer meanwhile")
    {
        Roster::promise_book own({ "a" }, limits);
        REQUIRE(own.givePromise(ask, fleet.state, true, start));
        CHECK_FALSE(own.giveBacking({ .version = fleet.state.membershipVersion }, fleet.state, false, start));
    }
    SECTION("a member that has the log itself gives itself no promise")
    {
        Roster::promise_book own({ "a" }, limits);
        CHECK_FALSE(own.givePromise(ask, fleet.state, false, start));
    }
}
