#include "Core/Fleet/FleetFixture.h"

#include "Fleet/WorkRules.h"

#include <catch2/catch.hpp>

using Fleet::rejection;

TEST_CASE("Work that must not be lost or doubled goes through the log")
{
    Testing::fleet_under_test fleet;
    fleet.addTeam("day", 100, 10);
    fleet.addQueue("q", "p");
    fleet.join("h1", 1);
    const Requests::work_identity identity { { "q" }, { "day" }, { "r1" } };
    const auto epoch = fleet.claim("pool:p", "h1");
    const auto accept = [&](const std::string& payload) {
        return Fleet::accept_work { .identity = identity, .key = { "hash-day" }, .payload = payload };
    };
    const auto intend = [&](Common::shard_epoch under, const std::string& task) {
        return Fleet::intend_work { .identity = identity, .epoch = under, .task = { task }, .instance = { "w1" } };
    };

    SECTION("a repeated submission is acknowledged again, another one under the same id isn't")
    {
        CHECK(fleet.reason(accept("a")) == rejection::None);
        CHECK(fleet.reason(accept("a")) == rejection::None);
        CHECK(fleet.reason(accept("b")) == rejection::IdReused);
        CHECK(fleet.state.works.size() == 1);
    }
    SECTION("a key withdrawn earlier in the log takes nothing in")
    {
        fleet.apply(Fleet::withdraw_key { { "hash-day" } });
        CHECK(fleet.reason(accept("a")) == rejection::KeyNotValid);
    }
    SECTION("only one intent stands, and only of the present holder")
    {
        CHECK(fleet.reason(intend({ epoch.value - 1 }, "t0")) == rejection::StaleEpoch);
        CHECK(fleet.reason(intend(epoch, "t1")) == rejection::None);
        CHECK(fleet.reason(intend(epoch, "t2")) == rejection::IdReused);
    }
    SECTION("what certainly didn't run may be tried again, what may have run may not")
    {
        REQUIRE(fleet.reason(intend(epoch, "t1")) == rejection::None);
        fleet.apply(Fleet::finish_work { identity, Requests::notRun(Requests::refusal_reason::WorkerFailed) });
        CHECK(fleet.reason(intend(epoch, "t2")) == rejection::None);
        fleet.apply(Fleet::finish_work { identity, Requests::unknownOutcome(Requests::refusal_reason::WorkerLost) });
        CHECK(fleet.reason(intend(epoch, "t3")) == rejection::IdReused);

        SECTION("and a late answer settles it")
        {
            CHECK(fleet.reason(Fleet::finish_work { identity, Requests::done("late") }) == rejection::None);
            CHECK(fleet.state.works.at(identity).result.answer == "late");
            CHECK(fleet.reason(Fleet::finish_work { identity, Requests::done("later") }) == rejection::AlreadyFinished);
        }
    }
    SECTION("cancelling works until the intent stands")
    {
        fleet.apply(accept("a"));
        SECTION("in time")
        {
            CHECK(fleet.reason(Fleet::cancel_work { identity }) == rejection::None);
            CHECK(fleet.reason(intend(epoch, "t1")) == rejection::IdReused);
        }
        SECTION("too late")
        {
            fleet.apply(intend(epoch, "t1"));
            CHECK(fleet.reason(Fleet::cancel_work { identity }) == rejection::WrongPhase);
        }
    }
    SECTION("outcomes are kept for their time and then forgotten")
    {
        fleet.apply(intend(epoch, "t1"));
        fleet.apply(Fleet::finish_work { identity, Requests::done("x") });
        const Fleet::envelope later { .at = { 3000 + Fleet::outcomeRetention.value }, .by = { "test" }, .commands = {} };
        Fleet::applyRecord(fleet.state, later, { 1000 });
        CHECK(fleet.state.works.empty());
    }
}
