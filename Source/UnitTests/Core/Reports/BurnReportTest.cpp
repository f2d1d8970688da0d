#include "Reports/BurnReport.h"

#include <catch2/catch.hpp>

using Requests::refusal_reason;

TEST_CASE("The burn report shows how fast error budgets go")
{
    Reports::burn_tracker tracker;
    const Common::instant start = Common::instant(std::chrono::hours(1));
    const Common::team_id team { "day" };

    SECTION("one failure in a thousand uses the budget at speed one")
    {
        for (int count = 0; count < 999; ++count)
            tracker.onOutcome(team, Requests::done("x"), start);
        tracker.onOutcome(team, Requests::notRun(refusal_reason::QueueFull), start);
        const auto burn = tracker.report(start).at(0);
        CHECK(burn.fast.rate == Approx(1.0));
        CHECK(burn.causes.at(0).reason == refusal_reason::QueueFull);
    }
    SECTION("the fast window forgets what the slow one still shows")
    {
        tracker.onOutcome(team, Requests::notRun(refusal_reason::QueueFull), start);
        const auto later = start + std::chrono::minutes(10);
        tracker.onOutcome(team, Requests::done("x"), later);
        const auto burn = tracker.report(later).at(0);
        CHECK(burn.fast.failed == 0);
        CHECK(burn.slow.failed == 1);
    }
    SECTION("refusals that the caller brought about burn nothing")
    {
        tracker.onOutcome(team, Requests::notRun(refusal_reason::KeyWithdrawn), start);
        tracker.onOutcome(team, Requests::notRun(refusal_reason::Cancelled), start);
        CHECK(tracker.report(start).at(0).slow.failed == 0);
    }
}
