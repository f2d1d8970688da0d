#include "Targets/WorkerLink.h"

#include <catch2/catch.hpp>

using Common::millis;

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
constexpr millis margin { 300 };

}

TEST_CASE("A daemon knows what became of the tasks it sent to a worker")
{
    Targets::worker_link link(margin);

    SECTION("before the worker has told its clock, nothing can be sent")
    {
        CHECK_FALSE(link.clockAt(start));
    }
    link.onAnswer("life1", { 5000 }, start);

    SECTION("times on the worker's clock err towards too early")
    {
        CHECK(link.clockAt(start + millis(100))->value == 5100);
    }
    const auto notAfter = start + millis(1000);
    const auto lease = start + millis(2500);
    link.onStartSent({ "t1" }, notAfter, lease);

    SECTION("an unclear start that the worker doesn't know is refused only once it can't arrive any more")
    {
        link.onStartUnclear({ "t1" });
        CHECK(link.judge({ .life = "life1" }, notAfter).refused.empty());
        CHECK(link.judge({ .life = "life1" }, notAfter + margin + millis(1)).refused.size() == 1);
    }
    SECTION("an unclear start on a worker that has restarted since may have run")
    {
        link.onStartUnclear({ "t1" });
        const auto verdicts = link.judge({ .life = "life2" }, notAfter + margin + millis(1));
        CHECK(verdicts.refused.empty());
        CHECK(verdicts.lost.size() == 1);
    }
    SECTION("an accepted task that the worker doesn't show any more is lost")
    {
        link.onStartAccepted({ "t1" }, start + millis(10));
        CHECK(link.judge({ .life = "life1" }, start + millis(5)).lost.empty());
        CHECK(link.judge({ .life = "life1" }, start + millis(20)).lost.size() == 1);
    }
    SECTION("a task that the worker shows is neither")
    {
        link.onStartUnclear({ "t1" });
        const Targets::poll_reply reply { .life = "life1", .running = { { .task = { "t1" } } } };
        CHECK(link.judge(reply, start + millis(5000)).refused.empty());
    }
    SECTION("while the worker is silent, leases aren't renewed, and tasks are lost after the last one")
    {
        link.onStartAccepted({ "t1" }, start);
        link.onRenewalSent(link.renewable(), lease + millis(500));
        link.onSilent();
        CHECK(link.renewable().empty());
        CHECK(link.lapsed(lease + millis(500) + margin).empty());
        CHECK(link.lapsed(lease + millis(501) + margin).size() == 1);
    }
    SECTION("tasks of an earlier life aren't renewed")
    {
        link.onStartAccepted({ "t1" }, start);
        link.onAnswer("life2", { 0 }, start + millis(10));
        CHECK(link.renewable().empty());
    }
}
