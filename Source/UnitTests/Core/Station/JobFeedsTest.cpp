#include "Station/JobFeeds.h"

#include <catch2/catch.hpp>

namespace {

struct counting_listener : Station::job_listener {
    void jobAccepted(const Common::job_id&) override { ++accepted; }
    void jobCancelled(const Common::job_id&) override { ++cancelled; }

    int accepted { 0 };
    int cancelled { 0 };
};

}

TEST_CASE("A second copy of a job from another partition isn't reported", "[station]")
{
    Jobs::job_book book;
    counting_listener listener;
    Station::intake_feed feed(book, listener);
    const auto record = Station::jobRecord({ .id = { "j" }, .queue = { "q" } });
    feed.apply(record);
    feed.apply(record);
    CHECK(listener.accepted == 1);
    CHECK(book.size() == 1);
}

TEST_CASE("Heartbeats and older releases don't change the newest claim and release", "[station]")
{
    Jobs::job_book book;
    Station::progress_feed feed(book);
    feed.apply(Station::claimRecord({ .member = "a", .number = 3 }));
    feed.apply(Station::heartbeatRecord(3));
    CHECK(feed.claim().number == 3);
    CHECK(feed.released() == 0);
    feed.apply(Station::releaseRecord(3));
    feed.apply(Station::releaseRecord(2));
    CHECK(feed.released() == 3);
}
