#include "ControlPlane/JobFeeds.h"

#include <catch2/catch.hpp>

namespace {

struct counting_listener : ControlPlane::job_listener {
    void jobAccepted(const Common::job_id&) override { ++accepted; }
    void jobCancelled(const Common::job_id&) override { ++cancelled; }

    int accepted { 0 };
    int cancelled { 0 };
};

}

TEST_CASE("A second copy of a job from another partition isn't reported", "[station]")
{
    Jobs::job_registry jobRegistry;
    counting_listener listener;
    ControlPlane::intake_feed feed(jobRegistry, listener);
    const auto record = ControlPlane::jobRecord({ .id = { "j" }, .queue = { "q" } });
    feed.apply(record);
    feed.apply(record);
    CHECK(listener.accepted == 1);
    CHECK(jobRegistry.size() == 1);
}

TEST_CASE("Heartbeats and older releases don't change the newest claim and release", "[station]")
{
    Jobs::job_registry jobRegistry;
    ControlPlane::progress_feed feed(jobRegistry);
    feed.apply(ControlPlane::claimRecord({ .member = "a", .number = 3 }));
    feed.apply(ControlPlane::heartbeatRecord(3));
    CHECK(feed.claim().number == 3);
    CHECK(feed.released() == 0);
    feed.apply(ControlPlane::releaseRecord(3));
    feed.apply(ControlPlane::releaseRecord(2));
    CHECK(feed.released() == 3);
}

TEST_CASE("A claim without a capacity, of an older version, has the default capacity", "[station]")
{
    Jobs::job_registry jobRegistry;
    ControlPlane::progress_feed feed(jobRegistry);
    feed.apply(ControlPlane::claimRecord(
        { .member = "a", .number = 1, .capacity = { .processor = { 120 }, .link = { 10 } } }));
    CHECK(feed.claim().capacity == ControlPlane::instance_capacity { .processor = { 120 }, .link = { 10 } });
    feed.apply({ .key = "@holder", .value = R"({"member":"b","number":2})" });
    CHECK(feed.claim().member == "b");
    CHECK(feed.claim().capacity == ControlPlane::instance_capacity());
}

TEST_CASE("The newest release names the successor", "[station]")
{
    Jobs::job_registry jobRegistry;
    ControlPlane::progress_feed feed(jobRegistry);
    feed.apply(ControlPlane::releaseRecord(3, "a"));
    CHECK(feed.successor() == "a");

    SECTION("An older release doesn't change it")
    {
        feed.apply(ControlPlane::releaseRecord(2, "b"));
        CHECK(feed.released() == 3);
        CHECK(feed.successor() == "a");
    }
    SECTION("A later one without a successor clears it")
    {
        feed.apply(ControlPlane::releaseRecord(4));
        CHECK(feed.released() == 4);
        CHECK(feed.successor().empty());
    }
    SECTION("So does one of an older version")
    {
        feed.apply({ .key = "@released", .value = R"({"number":4})" });
        CHECK(feed.successor().empty());
    }
}

TEST_CASE("The newest request for a handover is read", "[station]")
{
    ControlPlane::handover_feed feed;
    auto record = ControlPlane::handoverRecord({ .member = "a", .claim = 1, .capacity = {}, .offset = {} });
    record.offset = { 7 };
    feed.apply(record);
    REQUIRE(feed.request());
    CHECK(feed.request()->member == "a");
    CHECK(feed.request()->claim == 1);
    CHECK(feed.request()->offset == Common::log_offset { 7 });
}
