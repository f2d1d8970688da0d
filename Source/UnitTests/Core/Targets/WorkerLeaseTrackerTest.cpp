#include "Targets/WorkerLeaseTracker.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
constexpr millis margin { 300 };

}

TEST_CASE("A daemon tracks the tasks that it sent to a worker")
{
    Targets::worker_lease_tracker tracker(margin);

    SECTION("the worker's clock is unknown before the first answer")
    {
        CHECK_FALSE(tracker.clockAt(start));
    }
    tracker.onAnswer("life1", { 5000 }, start);

    SECTION("the worker's clock is estimated from its last answer")
    {
        CHECK(tracker.clockAt(start + millis(100))->value == 5100);
    }
    const auto notAfter = start + millis(1000);
    const auto lease = start + millis(2500);
    tracker.onStartSent({ "t1" }, notAfter, lease);

    SECTION("an unconfirmed task that the worker doesn't show never started, once the start can't arrive any more")
    {
        tracker.onStartUnconfirmed({ "t1" });
        CHECK(tracker.reconcile({ .life = "life1" }, notAfter).neverStarted.empty());
        CHECK(tracker.reconcile({ .life = "life1" }, notAfter + margin + millis(1)).neverStarted.size() == 1);
    }
    SECTION("an unconfirmed task may have run if the worker has restarted since")
    {
        tracker.onStartUnconfirmed({ "t1" });
        const auto ended = tracker.reconcile({ .life = "life2" }, notAfter + margin + millis(1));
        CHECK(ended.neverStarted.empty());
        CHECK(ended.lost.size() == 1);
    }
    SECTION("an accepted task that the worker doesn't show any more is lost")
    {
        tracker.onStartAccepted({ "t1" }, start + millis(10));
        CHECK(tracker.reconcile({ .life = "life1" }, start + millis(5)).lost.empty());
        CHECK(tracker.reconcile({ .life = "life1" }, start + millis(20)).lost.size() == 1);
    }
    SECTION("a task that the worker shows doesn't count as never started")
    {
        tracker.onStartUnconfirmed({ "t1" });
        const Targets::poll_reply reply { .life = "life1", .running = { { .task = { "t1" } } } };
        CHECK(tracker.reconcile(reply, start + millis(5000)).neverStarted.empty());
    }
    SECTION("while the worker is unresponsive, leases aren't renewed, and tasks are lost after the last lease")
    {
        tracker.onStartAccepted({ "t1" }, start);
        tracker.onRenewalSent(tracker.renewable(), lease + millis(500));
        tracker.onSilent();
        CHECK(tracker.renewable().empty());
        CHECK(tracker.expiredTasks(lease + millis(500) + margin).empty());
        CHECK(tracker.expiredTasks(lease + millis(501) + margin).size() == 1);
    }
    SECTION("tasks of an earlier incarnation aren't renewed")
    {
        tracker.onStartAccepted({ "t1" }, start);
        tracker.onAnswer("life2", { 0 }, start + millis(10));
        CHECK(tracker.renewable().empty());
    }
}
