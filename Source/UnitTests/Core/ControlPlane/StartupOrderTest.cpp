#include "ControlPlane/StartupOrder.h"

#include <catch2/catch.hpp>

using ControlPlane::job_reading_view;
using ControlPlane::mayReadJobs;

TEST_CASE("After a restart of all, instances with less room than the last leader read the jobs later", "[station]")
{
    job_reading_view view { .own = { 200 }, .leader = ControlPlane::leader_room { 1000 }, .isProgressRead = true };
    view.waited = Common::millis(100);

    SECTION("those with as much room read at once")
    {
        view.own = { 1000 };
        CHECK(mayReadJobs(view));
    }
    SECTION("so do all where there has been no leader")
    {
        view.leader.reset();
        CHECK(mayReadJobs(view));
    }
    SECTION("but not before they know who led")
    {
        view.isProgressRead = false;
        CHECK_FALSE(mayReadJobs(view));
        view.waited = Common::millis(2000);
        CHECK(mayReadJobs(view));
    }
    SECTION("the others wait for a leader, then for their turn")
    {
        view.turn = 0.5;
        CHECK_FALSE(mayReadJobs(view));
        view.leaderSeenAfter = view.waited = Common::millis(1200);
        CHECK_FALSE(mayReadJobs(view));
        view.waited += Common::millis(1500);
        CHECK(mayReadJobs(view));
    }
    SECTION("they don't wait when the leader has been active all the time")
    {
        view.turn = 0.9;
        view.leaderSeenAfter = Common::millis(250);
        CHECK(mayReadJobs(view));
    }
    SECTION("nor for ever when none has the room of the last leader")
    {
        view.turn = 0;
        view.waited = Common::millis(2000);
        CHECK(mayReadJobs(view));
        view.turn = 1;
        CHECK_FALSE(mayReadJobs(view));
        view.waited = Common::millis(5000);
        CHECK(mayReadJobs(view));
    }
}
