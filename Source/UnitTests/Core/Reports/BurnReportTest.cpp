#include "Reports/BurnReport.h"

#include <catch2/catch.hpp>

using Requests::refusal_reason;

TEST_CASE("The burn report shows the burn rate of error budgets")
{
    Reports::burn_tracker tracker;
    const Common::instant start = Common::instant(std::chrono::hours(1));
    const Common::team_id team { "day" };

    SECTION("one failure in a thousand requests is a burn rate of one")
    {
        for (int count = 0; count < 999; ++count)
            tracker.onOutcome(team, Requests::done("x"), start);
        tracker.onOutcome(team, Requests::notRun(refusal_reason::QueueFull), start);
        const auto burn = tracker.report(start).at(0);
        CHECK(burn.fast.rate == Approx(1.0));
        CHECK(burn.causes.at(0).reason == refusal_reason::QueueFull);
    }
    SECTION("a failure leaves the fast window before the slow one")
    {
        tracker.onOutcome(team, Requests::notRun(refusal_reason::QueueFull), start);
        const auto later = start + std::chrono::minutes(10);
        tracker.onOutcome(team, Requests::done("x"), later);
        const auto burn = tracker.report(later).at(0);
        CHECK(burn.fast.failed == 0);
        CHECK(burn.slow.failed == 1);
    }
    SECTION("refusals that the caller caused don't count against the budget")
    {
        tracker.onOutcome(team, Requests::notRun(refusal_reason::KeyWithdrawn), start);
        tracker.onOutcome(team, Requests::notRun(refusal_reason::Cancelled), start);
        CHECK(tracker.report(start).at(0).slow.failed == 0);
    }
}
