#include "Core/Fleet/FleetFixture.h"

#include "Fleet/WorkRules.h"

#include <catch2/catch.hpp>

using Fleet::rejection;

TEST_CASE("Queued requests and requests that run at most once go through the log")
{
    Testing::fleet_fixture fleet;
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

    SECTION("a repeated submission is accepted again, a different one under the same id isn't")
    {
        CHECK(fleet.reason(accept("a")) == rejection::None);
        CHECK(fleet.reason(accept("a")) == rejection::None);
        CHECK(fleet.reason(accept("b")) == rejection::IdReused);
        CHECK(fleet.state.works.size() == 1);
    }
    SECTION("a key withdrawn earlier in the log is rejected")
    {
        fleet.apply(Fleet::withdraw_key { { "hash-day" } });
        CHECK(fleet.reason(accept("a")) == rejection::KeyNotValid);
    }
    SECTION("only one intent is accepted, and only from the current holder")
    {
        CHECK(fleet.reason(intend({ epoch.value - 1 }, "t0")) == rejection::StaleEpoch);
        CHECK(fleet.reason(intend(epoch, "t1")) == rejection::None);
        CHECK(fleet.reason(intend(epoch, "t2")) == rejection::IdReused);
    }
    SECTION("a request that certainly didn't run may be retried, one that may have run may not")
    {
        REQUIRE(fleet.reason(intend(epoch, "t1")) == rejection::None);
        fleet.apply(Fleet::finish_work { identity, Requests::notRun(Requests::refusal_reason::WorkerFailed) });
        CHECK(fleet.reason(intend(epoch, "t2")) == rejection::None);
        fleet.apply(Fleet::finish_work { identity, Requests::unknownOutcome(Requests::refusal_reason::WorkerLost) });
        CHECK(fleet.reason(intend(epoch, "t3")) == rejection::IdReused);

        SECTION("and a late answer replaces the unknown outcome")
        {
            CHECK(fleet.reason(Fleet::finish_work { identity, Requests::done("late") }) == rejection::None);
            CHECK(fleet.state.works.at(identity).result.answer == "late");
            CHECK(fleet.reason(Fleet::finish_work { identity, Requests::done("later") }) == rejection::AlreadyFinished);
        }
    }
    SECTION("a request can be cancelled until its intent is logged")
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
    SECTION("outcomes are removed after the retention time")
    {
        fleet.apply(intend(epoch, "t1"));
        fleet.apply(Fleet::finish_work { identity, Requests::done("x") });
        const Fleet::envelope later { .at = { 3000 + Fleet::outcomeRetention.value }, .by = { "test" }, .commands = {} };
        Fleet::applyRecord(fleet.state, later, { 1000 });
        CHECK(fleet.state.works.empty());
    }
}
