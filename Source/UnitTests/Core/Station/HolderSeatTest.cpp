#include "Station/HolderSeat.h"
#include "../Records/FakeStore.h"

#include <catch2/catch.hpp>

namespace {

struct candidate {
    candidate(fake_store& store, manual_timers& timers, const std::string& member)
        : feed(book)
        , follower(std::make_shared<Records::topic_follower>(
              store, timers, Records::follower_options { .where = { "keyed.progress", 0 } }, feed))
        , seat(std::make_shared<Station::holder_seat>(store, timers,
              Station::seat_options { .member = member,
                  .group = "g",
                  .progressTopic = { "keyed.progress", 0 },
                  .writer = "holder",
                  .timeToLive = Common::millis(1000) },
              *follower, feed))
    {
        follower->start();
        seat->start([this](const Station::won_seat& won) { wins.push_back(won); }, [this] { ++dealtAway; });
    }

    Jobs::job_book book;
    Station::progress_feed feed;
    std::shared_ptr<Records::topic_follower> follower;
    std::shared_ptr<Station::holder_seat> seat;
    std::vector<Station::won_seat> wins;
    int dealtAway { 0 };
};

}

TEST_CASE("The seat is claimed where it is dealt, each time with a higher token", "[station]")
{
    manual_timers timers;
    fake_store store(timers);
    store.owner = "one";
    candidate one(store, timers, "one");
    candidate two(store, timers, "two");
    timers.advance(Common::millis(1000));
    REQUIRE(one.wins.size() == 1);
    CHECK(two.wins.empty());
    CHECK(one.seat->standing().isConfirmed(timers.now()));

    SECTION("the group deals it elsewhere")
    {
        store.owner = "two";
        ++store.generation;
        timers.advance(Common::millis(2500));
        CHECK(one.dealtAway == 1);
        REQUIRE(two.wins.size() == 1);
        CHECK(two.wins[0].token > one.wins[0].token);
        CHECK(two.wins[0].number == 2);
        // What the first one still sends is refused by the store.
        const auto late = store.store({ .where = { "keyed.progress", 0 },
            .records = { { .key = "x", .value = "1" } },
            .position = Records::writer_position { .writer = "holder", .epoch = one.wins[0].token, .sequence = 1 } });
        CHECK(late.outcome == Records::append_outcome::Fenced);
    }
    SECTION("a silent store puts the seat in doubt, then unconfirmed")
    {
        store.state = fake_store::trouble::Silent;
        timers.advance(Common::millis(600));
        CHECK(one.seat->standing().isInDoubt);
        timers.advance(Common::millis(1000));
        CHECK_FALSE(one.seat->standing().isConfirmed(timers.now()));
        store.state = fake_store::trouble::None;
        timers.advance(Common::millis(1200));
        CHECK(one.seat->standing().isConfirmed(timers.now()));
    }
    SECTION("a claim is only taken where the partition ends as it was read")
    {
        one.seat->vacate();
        const auto before = one.wins.size();
        store.put({ "keyed.progress", 0 }, "y", "2");
        timers.advance(Common::millis(1500));
        REQUIRE(one.wins.size() == before + 1);
        CHECK(one.wins.back().token > one.wins.front().token + 1);
    }
}
