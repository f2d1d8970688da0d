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
