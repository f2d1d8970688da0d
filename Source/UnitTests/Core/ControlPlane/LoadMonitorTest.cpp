#include "ControlPlane/LoadMonitor.h"

#include <catch2/catch.hpp>

namespace {

using std::chrono::milliseconds;

/// Fires timers that are due 100 ms apart, each late by the given time.
struct late_timers {
    std::optional<ControlPlane::load_change> fire(milliseconds lateness)
    {
        due += milliseconds(100);
        return monitor.timerFired(due, due + lateness);
    }

    Common::instant due { std::chrono::seconds(1000) };
    ControlPlane::load_monitor monitor;
};

}

TEST_CASE("The load monitor reports once that the loop fell behind, and once that it caught up", "[load]")
{
    late_timers timers;
    CHECK_FALSE(timers.fire(milliseconds(1)));
    CHECK_FALSE(timers.fire(milliseconds(250)));
    CHECK_FALSE(timers.monitor.isBehind());

    const auto behind = timers.fire(milliseconds(300));
    REQUIRE(behind);
    CHECK(behind->isBehind);
    CHECK(behind->lag == milliseconds(300));
    CHECK(timers.monitor.isBehind());
    CHECK_FALSE(timers.fire(milliseconds(800)));

    SECTION("one timer on time isn't enough")
    {
        CHECK_FALSE(timers.fire(milliseconds(0)));
        CHECK_FALSE(timers.fire(milliseconds(150)));
        CHECK_FALSE(timers.fire(milliseconds(0)));
        CHECK(timers.monitor.isBehind());
    }
    SECTION("timers on time for a while are")
    {
        std::optional<ControlPlane::load_change> change;
        for (int count = 0; count < 20 && !change; ++count)
            change = timers.fire(milliseconds(2));
        REQUIRE(change);
        CHECK_FALSE(change->isBehind);
        CHECK(change->behindFor > milliseconds(300));
        CHECK_FALSE(timers.monitor.isBehind());
    }
    CHECK(timers.monitor.takeWorstLag() == milliseconds(800));
    CHECK(timers.monitor.takeWorstLag() == milliseconds(0));
}
