#include "Station/HolderSeat.h"
#include "../Records/FakeStore.h"

#include <catch2/catch.hpp>

namespace {

const Records::topic_part progress { "keyed.progress", 0 };

struct candidate {
    candidate(fake_store& records, manual_timers& owner, const std::string& member)
        : store(records)
        , timers(owner)
        , feed(book)
        , follower(std::make_shared<Records::topic_follower>(store, timers,
              Records::follower_options { .where = progress, .gap = Common::millis(100) }, feed))
        , seat(std::make_shared<Station::holder_seat>(store, timers,
              Station::seat_options { .member = member, .progressTopic = progress, .writer = "holder" }, *follower,
              feed))
    {
        follower->start();
        seat->start([this](const Station::won_seat& won) { wins.push_back(won); });
    }

    /// Stores a sign of the tenure, as its run does.
    Records::append_outcome sign()
    {
        const auto began = timers.now();
        const auto result = store.store({ .where = progress,
            .records = { Station::signRecord(wins.back().number) },
            .position = Records::writer_position {
                .writer = "holder", .epoch = wins.back().token, .sequence = ++signs } });
        if (result.outcome == Records::append_outcome::Stored)
            seat->confirm(began);
        return result.outcome;
    }

    fake_store& store;
    manual_timers& timers;
    Jobs::job_book book;
    Station::progress_feed feed;
    std::shared_ptr<Records::topic_follower> follower;
    std::shared_ptr<Station::holder_seat> seat;
    std::vector<Station::won_seat> wins;
    std::int64_t signs { 0 };
};

struct seat_story {
    seat_story() { timers.advance(Common::millis(500)); }

    candidate& holder() { return one.wins.empty() ? two : one; }
    candidate& other() { return one.wins.empty() ? one : two; }

    void signFor(Common::millis time)
    {
        for (Common::millis past { 0 }; past < time; past += Common::millis(100)) {
            holder().sign();
            timers.advance(Common::millis(100));
        }
    }

    manual_timers timers;
    fake_store store { timers };
    candidate one { store, timers, "one" };
    candidate two { store, timers, "two" };
};

}

TEST_CASE("Of two that claim the first seat, one gets it", "[station]")
{
    seat_story s;
    REQUIRE(s.one.wins.size() + s.two.wins.size() == 1);
    CHECK(s.holder().seat->standing().isConfirmed(s.timers.now()));
    CHECK_FALSE(s.other().seat->standing().isHeld);
}

TEST_CASE("Two claims of one moment, which the store answers alike, make one holder", "[station]")
{
    manual_timers timers;
    fake_store store(timers);
    std::vector<std::unique_ptr<candidate>> all;
    for (int index = 0; index < 40; ++index)
        all.push_back(std::make_unique<candidate>(store, timers, "m" + std::to_string(index)));
    timers.advance(Common::millis(600));
    std::size_t wins = 0;
    for (const auto& each : all)
        wins += each->wins.size();
    CHECK(wins == 1);
}

TEST_CASE("A holder that shows itself keeps its seat", "[station]")
{
    seat_story s;
    s.signFor(Common::millis(5000));
    CHECK(s.other().wins.empty());
    CHECK(s.holder().seat->standing().isConfirmed(s.timers.now()));
}

TEST_CASE("The seat of a holder that stops showing itself is claimed, after its time is over", "[station]")
{
    seat_story s;
    s.signFor(Common::millis(1000));
    auto& lost = s.holder();
    auto& next = s.other();
    lost.seat->leave();
    while (next.wins.empty() && s.timers.now() < Common::instant(std::chrono::seconds(1010))) {
        const bool wasConfirmed = lost.seat->standing().isConfirmed(s.timers.now());
        s.timers.advance(Common::millis(10));
        CHECK((next.wins.empty() || !wasConfirmed));
    }
    REQUIRE(next.wins.size() == 1);
    CHECK(next.wins[0].token > lost.wins[0].token);
    CHECK(next.wins[0].number == 2);
    // What the first one still sends is refused by the store.
    CHECK(lost.sign() == Records::append_outcome::Fenced);
}

TEST_CASE("A seat that was given up is claimed without waiting", "[station]")
{
    seat_story s;
    s.signFor(Common::millis(300));
    s.holder().seat->leave();
    s.store.put(progress, "@released", R"({"number":1})");
    s.timers.advance(Common::millis(400));
    CHECK(s.other().wins.size() == 1);
}

TEST_CASE("An outage of the store isn't taken for a quiet holder", "[station]")
{
    seat_story s;
    s.signFor(Common::millis(500));
    s.store.state = fake_store::trouble::Silent;
    s.timers.advance(Common::millis(4000));
    CHECK_FALSE(s.holder().seat->standing().isConfirmed(s.timers.now()));
    s.store.state = fake_store::trouble::None;
    s.timers.advance(Common::millis(200));
    s.signFor(Common::millis(2000));
    CHECK(s.other().wins.empty());
    CHECK(s.holder().seat->standing().isConfirmed(s.timers.now()));
}
