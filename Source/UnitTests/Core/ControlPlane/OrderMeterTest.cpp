#include "ControlPlane/OrderMeter.h"

#include <catch2/catch.hpp>

TEST_CASE("Answers are slow while most orders of the last seconds were answered slowly or not at all", "[overload]")
{
    using std::chrono::milliseconds;
    Common::instant now { std::chrono::seconds(1000) };
    ControlPlane::order_meter meter(now);
    const auto answer = [&meter, &now](milliseconds time, bool isAnswered = true) {
        meter.sent(ControlPlane::order_kind::Poll);
        meter.answered(ControlPlane::order_kind::Poll, time, isAnswered, now);
    };
    // A new leader doesn't know yet whether its link is full.
    CHECK(meter.areAnswersSlow(now));
    now += milliseconds(1000);
    CHECK_FALSE(meter.areAnswersSlow(now));

    SECTION("one worker that doesn't answer isn't the leader's fault")
    {
        answer(milliseconds(5));
        answer(milliseconds(5));
        answer(milliseconds(700), false);
        CHECK_FALSE(meter.areAnswersSlow(now));
    }
    SECTION("a burst of quick answers doesn't outweigh what was slow just before")
    {
        answer(milliseconds(500));
        now += milliseconds(1000);
        for (int count = 0; count < 20; ++count)
            answer(milliseconds(5));
        CHECK(meter.areAnswersSlow(now));
        now += milliseconds(1000);
        answer(milliseconds(5));
        CHECK_FALSE(meter.areAnswersSlow(now));
    }
    SECTION("without orders, old answers don't count")
    {
        answer(milliseconds(500));
        CHECK(meter.areAnswersSlow(now));
        now += milliseconds(2000);
        CHECK_FALSE(meter.areAnswersSlow(now));
    }
}
