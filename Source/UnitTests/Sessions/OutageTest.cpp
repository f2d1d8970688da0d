#include "Sessions/Deployment.h"
#include "Sessions/LoadGenerator.h"

#include <catch2/catch.hpp>
#include <csignal>

using Sessions::submissionOf;
using Sessions::waitUntil;

namespace {

void waitForAnswers(const Sessions::load_generator& load, int more)
{
    const int before = load.finished();
    waitUntil("more requests are answered", [&] { return load.finished() >= before + more; });
}

void waitFor(Common::millis duration)
{
    const auto end = Common::boot_clock::now() + duration;
    waitUntil("the time is over", [&] { return Common::boot_clock::now() > end; });
}

}

TEST_CASE("The platform's log is down for longer than any lease", "[outage]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);
    Sessions::load_generator load(target, { .callers = 6, .daemons = { 0, 1, 2 } });
    waitForAnswers(load, 50);
    target.log().faults().set("down", 1);
    waitFor(std::chrono::seconds(9));

    SECTION("idempotent requests are still answered")
    {
        waitForAnswers(load, 200);
        load.stop();
        CHECK(load.count("done") == load.finished());
    }
    SECTION("a request that needs the log is refused without being run, and runs once after the log is back")
    {
        const auto refused
            = target.callers(0, "/v1/requests", submissionOf({ .name = "kit-1", .idempotent = false, .deadlineMillis = 2000 }));
        CHECK(refused.field("outcome") == "not_run");
        CHECK(refused.field("reason") == "log_unavailable");
        CHECK(target.audit().starts("kit-1") == 0);
        target.log().faults().set("down", 0);
        waitUntil("the kit is released", [&] {
            const auto answer = target.callers(1, "/v1/requests", submissionOf({ .name = "kit-1", .idempotent = false }));
            return answer.field("outcome") == "done";
        });
        CHECK(target.audit().starts("kit-1") == 1);
    }
    SECTION("the pools of a holder that crashes during the outage aren't served until the log is back")
    {
        load.stop();
        const int holder = target.holderOf("shifts");
        const int other = (holder + 1) % 3;
        target.daemon(holder).signal(SIGKILL);
        target.daemon(holder).wait();
        waitFor(std::chrono::seconds(3));
        const auto refused
            = target.callers(other, "/v1/requests", submissionOf({ .name = "meanwhile", .deadlineMillis = 500 }));
        CHECK(refused.field("outcome") == "not_run");
        CHECK(target.audit().starts("meanwhile") == 0);
        target.log().faults().set("down", 0);
        waitUntil("the pool is served again", [&] {
            const auto answer
                = target.callers(other, "/v1/requests", submissionOf({ .name = "after", .deadlineMillis = 1000 }));
            return answer.field("outcome") == "done";
        });
    }
    SECTION("a daemon whose peers are all frozen refuses requests, and all daemons recover afterwards")
    {
        const int alone = target.holderOf("shifts");
        for (int daemon = 0; daemon < 3; ++daemon) {
            if (daemon != alone)
                target.daemon(daemon).signal(SIGSTOP);
        }
        waitUntil("the only running daemon is no longer ready", [&] { return !target.isReady(alone); });
        const auto refused = target.callers(alone, "/v1/requests", submissionOf({ .name = "alone", .deadlineMillis = 500 }));
        CHECK(refused.field("outcome") == "not_run");
        CHECK(target.audit().starts("alone") == 0);
        for (int daemon = 0; daemon < 3; ++daemon)
            target.daemon(daemon).signal(SIGCONT);
        target.log().faults().set("down", 0);
        for (int daemon = 0; daemon < 3; ++daemon)
            target.waitReady(daemon);
    }
    load.stop();
}

TEST_CASE("The log's answers are lost after the append took effect", "[outage]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);
    target.log().faults().set("loseAnswers", 3);
    const auto drained = target.change(0, "drain", R"({"instance":"dc1-w0"})", "drain-1");
    waitUntil("the change is reported as accepted",
        [&] { return target.change(0, "drain", R"({"instance":"dc1-w0"})", "drain-1").field("state") == "accepted"; });
    INFO(drained.body);

    SECTION("a change is made once")
    {
        int entries = 0;
        const auto history = target.stateList(1, "history");
        for (const auto& entry : history)
            entries += entry.at("what") == "drain_instance" ? 1 : 0;
        CHECK(entries == 1);
    }
    SECTION("requests that must run at most once run once")
    {
        target.log().faults().set("loseAnswers", 5);
        Sessions::load_generator load(target, { .callers = 4, .idempotent = false, .daemons = { 0, 1, 2 } });
        waitForAnswers(load, 40);
        load.stop();
        CHECK(target.audit().startedTwice().empty());
        CHECK(load.count("no_answer") == 0);
    }
}

TEST_CASE("A restarted daemon starts from a snapshot when the oldest records have expired", "[outage]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 3, .extraSettings = "[timing]\nrenew_every_ms = 100\n[limits]\nsnapshot_every_records = 30\n" });
    target.startAll();
    target.setUpShifts("day", 16);
    waitUntil("the log has grown", [&] { return target.log().end() > 100; });
    target.log().faults().set("keep", 60);
    waitUntil("the oldest records are gone", [&] { return target.log().end() > 160; });
    target.daemon(0).signal(SIGKILL);
    target.daemon(0).wait();
    target.startDaemon(0);
    target.waitReady(0);
    const auto answer = target.callers(0, "/v1/requests", submissionOf({ .name = "check-1" }));
    CHECK(answer.field("outcome") == "done");
    CHECK(target.state(0, "instances").body == target.state(1, "instances").body);
}
