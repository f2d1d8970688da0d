#include "Dispatch/StartWindow.h"

#include <catch2/catch.hpp>

namespace {

using std::chrono::milliseconds;

struct window_fixture {
    /// Uses the window up and has all its starts answered after `time`; some may be answered otherwise.
    void round(milliseconds time, int others = 0, milliseconds otherTime = milliseconds(700))
    {
        const int count = window.room();
        for (int index = 0; index < count; ++index)
            window.sent();
        CHECK(window.room() == 0);
        now += time;
        for (int index = 0; index < count; ++index)
            window.startAnswered(index < others ? otherTime : time, now);
    }

    Common::instant now { std::chrono::seconds(1000) };
    Dispatch::start_window window;
};

}

TEST_CASE("The window of unanswered starts shrinks when answers are slow and grows again", "[window]")
{
    window_fixture f;
    const int first = f.window.size();

    SECTION("quick answers let it grow")
    {
        for (int count = 0; count < 4; ++count)
            f.round(milliseconds(5));
        CHECK(f.window.size() > 2 * first);
    }
    SECTION("slow answers shrink it, but never below a few starts")
    {
        for (int count = 0; count < 20; ++count)
            f.round(milliseconds(400));
        CHECK(f.window.size() >= 1);
        CHECK(f.window.size() <= first / 8);

        SECTION("and it recovers once they are quick")
        {
            for (int count = 0; count < 40; ++count)
                f.round(milliseconds(5));
            CHECK(f.window.size() >= first);
        }
    }
    SECTION("a worker that doesn't answer doesn't slow down the others")
    {
        for (int count = 0; count < 10; ++count)
            f.round(milliseconds(5), 4);
        CHECK(f.window.size() >= first);
    }
    SECTION("it doesn't grow while it isn't used up")
    {
        for (int count = 0; count < 1000; ++count) {
            f.window.sent();
            f.window.startAnswered(milliseconds(5), f.now);
        }
        CHECK(f.window.size() == first);
    }
    SECTION("it shrinks while the event loop is behind")
    {
        f.window.loopBehind(f.now);
        CHECK(f.window.size() == first / 2);
    }
}
