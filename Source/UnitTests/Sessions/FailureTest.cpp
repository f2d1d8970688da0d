#include "Sessions/Callers.h"
#include "Sessions/Deployment.h"

#include <catch2/catch.hpp>
#include <csignal>

using Sessions::submissionOf;
using Sessions::waitUntil;

namespace {

/// What must be true of any request, whatever failed: its own whole answer, and a true "not run".
void checkRecords(Sessions::deployment& target, const Sessions::caller_crowd& crowd)
{
    for (const auto& record : crowd.records()) {
        INFO(record.name << " " << record.outcome << " " << record.reason);
        if (record.outcome == "done")
            CHECK(record.rightAnswer);
        if (record.outcome == "not_run")
            CHECK(target.audit().starts(record.name) == 0);
    }
}

void waitForSome(const Sessions::caller_crowd& crowd, int more)
{
    const int before = crowd.finished();
    waitUntil("more requests are answered", [&] { return crowd.finished() >= before + more; });
}

}

TEST_CASE("The holder of a pool is killed under load", "[failure]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);
    const int holder = target.holderOf("shifts");
    const std::vector<int> others { (holder + 1) % 3, (holder + 2) % 3 };

    SECTION("idempotent requests sent through the others are all answered")
    {
        Sessions::caller_crowd crowd(target, { .callers = 8, .daemons = others });
        waitForSome(crowd, 50);
        target.daemon(holder).signal(SIGKILL);
        waitForSome(crowd, 200);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(crowd.count("done") == crowd.finished());
    }
    SECTION("requests that must run at most once never run twice")
    {
        Sessions::caller_crowd crowd(target, { .callers = 8, .idempotent = false, .daemons = others });
        waitForSome(crowd, 50);
        target.daemon(holder).signal(SIGKILL);
        waitForSome(crowd, 200);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(target.audit().startedTwice().empty());
        CHECK(crowd.count("done") > 200);
        CHECK(crowd.count("no_answer") == 0);
    }
}

TEST_CASE("The holder of a pool is frozen and wakes up after others have taken over", "[failure]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);
    const int holder = target.holderOf("shifts");
    Sessions::caller_crowd crowd(
        target, { .callers = 8, .idempotent = false, .daemons = { (holder + 1) % 3, (holder + 2) % 3 } });
    waitForSome(crowd, 50);
    target.daemon(holder).signal(SIGSTOP);
    const int other = (holder + 1) % 3;
    waitUntil("another holds the pool", [&] {
        const std::string pools = target.state(other, "pools").body;
        return pools.find("\"holder\":\"e") != std::string::npos
            && pools.find("\"holder\":\"e" + std::to_string(holder)) == std::string::npos;
    });
    waitForSome(crowd, 50);
    target.daemon(holder).signal(SIGCONT);
    waitForSome(crowd, 50);
    target.waitReady(holder);
    crowd.stop();
    checkRecords(target, crowd);
    CHECK(target.audit().startedTwice().empty());
    CHECK(target.audit().mostRunning("day") <= 16);
}

TEST_CASE("The holder of a pool stops as planned while tasks that run once take longer than the handover", "[failure]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6, .extraSettings = "[timing]\nbalancer_grace_ms = 300\n" });
    target.startAll();
    target.setUpShifts("day", 24);
    const int holder = target.holderOf("shifts");
    Sessions::caller_crowd crowd(target,
        { .callers = 12, .runMillis = 2500, .idempotent = false, .daemons = { (holder + 1) % 3, (holder + 2) % 3 } });
    waitUntil("tasks run", [&] { return target.audit().runningNow("day") == 12; });
    target.daemon(holder).signal(SIGTERM);
    CHECK(target.daemon(holder).wait() == 0);
    waitForSome(crowd, 24);
    crowd.stop();
    checkRecords(target, crowd);
    CHECK(crowd.count("done") == crowd.finished());
    CHECK(target.audit().startedTwice().empty());
}

TEST_CASE("All daemons are replaced at once", "[failure]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 4);
    for (int number = 0; number < 30; ++number) {
        const std::string name = "plan-" + std::to_string(number);
        const auto receipt = target.callers(number % 3, "/v1/requests",
            submissionOf({ .name = name, .runMillis = 100, .idempotent = false, .queued = true, .deadlineMillis = 600'000 }));
        REQUIRE(receipt.status == 202);
    }
    for (int daemon = 0; daemon < 3; ++daemon)
        target.daemon(daemon).signal(SIGKILL);
    for (int daemon = 0; daemon < 3; ++daemon)
        target.daemon(daemon).wait();
    target.startAll();
    waitUntil("all acknowledged work is finished", [&] {
        for (int number = 0; number < 30; ++number) {
            const std::string body
                = R"({"id":"plan-)" + std::to_string(number) + R"(","queue":"routing","key":"key-day"})";
            if (target.callers(0, "/v1/requests/find", body).field("state") != "finished")
                return false;
        }
        return true;
    });
    CHECK(target.audit().startedTwice().empty());
    for (int number = 0; number < 30; ++number) {
        const std::string name = "plan-" + std::to_string(number);
        const auto found = target.callers(1, "/v1/requests/find", R"({"id":")" + name + R"(","queue":"routing","key":"key-day"})");
        INFO(name << " " << found.body);
        if (found.field("outcome") == "not_run")
            CHECK(target.audit().starts(name) == 0);
        else
            CHECK(target.audit().starts(name) <= 1);
        if (target.audit().starts(name) == 0)
            CHECK(found.field("outcome") != "done");
    }
}

TEST_CASE("Workers misbehave", "[failure]")
{
    Sessions::deployment target({ .daemons = 2, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);

    SECTION("starts whose answer is lost are settled over new connections, and nothing runs twice")
    {
        for (int worker = 0; worker < target.workers(); ++worker)
            target.worker(worker).faults().set("loseStarts", 2);
        Sessions::caller_crowd crowd(target, { .callers = 6, .idempotent = false, .daemons = { 0, 1 } });
        waitForSome(crowd, 60);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(target.audit().startedTwice().empty());
        CHECK(crowd.count("done") == crowd.finished());
    }
    SECTION("cut answers never reach a caller")
    {
        for (int worker = 0; worker < target.workers(); ++worker)
            target.worker(worker).faults().set("cutAnswers", 3);
        Sessions::caller_crowd crowd(target, { .callers = 6, .daemons = { 0, 1 } });
        waitForSome(crowd, 60);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(crowd.count("done") == crowd.finished());
    }
    SECTION("a worker that fails all it starts is left alone")
    {
        target.worker(0).faults().set("failAll", 1);
        Sessions::caller_crowd crowd(target, { .callers = 6, .daemons = { 0, 1 } });
        waitForSome(crowd, 300);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(crowd.count("done") == crowd.finished());
        CHECK(target.audit().startsOn(Sessions::workerName(0), {}) < crowd.finished() / 6);
    }
    SECTION("a worker that goes silent for good holds nobody up")
    {
        target.worker(0).faults().set("silent", 3'600'000);
        Sessions::caller_crowd crowd(target, { .callers = 6, .daemons = { 0, 1 } });
        waitForSome(crowd, 100);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(crowd.count("done") == crowd.finished());
        target.worker(0).faults().set("silent", 0);
    }
    SECTION("a leaving worker gets nothing new, although the list still shows it")
    {
        target.worker(0).faults().set("leaving", 1);
        const auto since = Common::boot_clock::now() + std::chrono::seconds(5);
        Sessions::caller_crowd crowd(target, { .callers = 6, .daemons = { 0, 1 } });
        waitUntil("a few seconds are over", [&] { return Common::boot_clock::now() > since; });
        waitForSome(crowd, 100);
        crowd.stop();
        checkRecords(target, crowd);
        CHECK(target.audit().startsOn(Sessions::workerName(0), since) == 0);
    }
}
