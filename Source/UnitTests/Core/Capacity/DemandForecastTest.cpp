#include "Capacity/DemandForecast.h"

#include <catch2/catch.hpp>

namespace {

using Capacity::demand_forecast;

struct forecast_fixture {
    static constexpr Common::millis step { 100 };
    const Common::pool_id pool { "pool" };
    Common::instant now {};
    demand_forecast forecast { { .leadTime = Common::millis(1500) } };
    std::int64_t level { 0 };

    void hold(std::int64_t value, int steps)
    {
        level = value;
        rise(0, steps);
    }

    /// The level changes by `perStep` each 100 ms.
    void rise(std::int64_t perStep, int steps)
    {
        for (int index = 0; index < steps; ++index) {
            now += step;
            level += perStep;
            forecast.note(pool, { level }, now);
        }
    }

    double expected() const { return static_cast<double>(level) * forecast.growth(pool); }
};

}

TEST_CASE("Sizes of pools lead a demand that rises", "[capacity]")
{
    forecast_fixture f;
    CHECK(f.forecast.growth(f.pool) == 1);
    f.hold(10'000, 20);

    SECTION("Without a rise, what is asked for is expected") { CHECK(f.forecast.growth(f.pool) == 1); }
    SECTION("A rise is continued over the time that a move takes")
    {
        // From 10 to 110 cores within a second, at 10 cores each 0.1 s.
        f.rise(10'000, 10);
        CHECK(f.expected() == Approx(110'000 + 150'000));
        SECTION("It isn't expected once the demand stays")
        {
            f.rise(0, 11);
            CHECK(f.forecast.growth(f.pool) == 1);
            f.rise(-5'000, 10);
            CHECK(f.forecast.growth(f.pool) == 1);
        }
    }
    SECTION("A sudden rise counts up to a multiple of the demand")
    {
        f.rise(200'000, 3);
        CHECK(f.forecast.growth(f.pool) == 3);
    }
    SECTION("One sample says nothing of the rise")
    {
        demand_forecast fresh { {} };
        fresh.note(f.pool, { 500'000 }, f.now);
        CHECK(fresh.growth(f.pool) == 1);
    }
    SECTION("A later rise is expected to reach half of the last peak")
    {
        f.rise(100'000, 10);
        f.hold(10'000, 30);
        CHECK(f.forecast.lastPeak(f.pool).value == 1'010'000);
        SECTION("However slowly it ended")
        {
            for (const auto level : { 5'000, 1'000, 100, 0, 0 })
                f.hold(level, 5);
            CHECK(f.forecast.lastPeak(f.pool).value == 1'010'000);
        }
        SECTION("Once it has begun")
        {
            f.rise(15'000, 10);
            CHECK(f.expected() == Approx(505'000));
        }
        SECTION("Not before")
        {
            f.rise(1'000, 4);
            CHECK(f.expected() < 40'000);
        }
    }
    SECTION("Moves that take longer are ordered for a later time")
    {
        for (int index = 0; index < 100; ++index)
            f.forecast.noteMove(Common::millis(3000));
        f.rise(1'000, 10);
        CHECK(f.expected() == Approx(20'000 + 30'000).epsilon(0.01));
    }
}
