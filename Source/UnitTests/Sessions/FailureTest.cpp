#include "Sessions/Deployment.h"
#include "Sessions/LoadGenerator.h"

#include <catch2/catch.hpp>
#include <csignal>

using Sessions::submissionOf;
using Sessions::waitUntil;

namespace {

/// Checks that each "done" request got its own complete answer and that no "not run" request was started.
void checkOutcomes(Sessions::deployment& target, const Sessions::load_generator& load)
{
    for (const auto& record : load.records()) {
        INFO(record.name << " " << record.outcome << " " << record.reason);
        if (record.outcome == "done")
            CHECK(record.hasOwnAnswer);
        if (record.outcome == "not_run")
            CHECK(target.audit().starts(record.name) == 0);
    }
}

void waitForAnswers(const Sessions::load_generator& load, int more)
{
    const int before = load.finished();
    waitUntil("more requests are answered", [&] { return load.finished() >= before + more; });
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
        Sessions::load_generator load(target, { .callers = 8, .daemons = others });
        waitForAnswers(load, 50);
        target.daemon(holder).signal(SIGKILL);
        waitForAnswers(load, 200);
        load.stop();
        checkOutcomes(target, load);
        CHECK(load.count("done") == load.finished());
    }
    SECTION("requests that must run at most once never run twice")
    {
        Sessions::load_generator load(target, { .callers = 8, .idempotent = false, .daemons = others });
        waitForAnswers(load, 50);
        target.daemon(holder).signal(SIGKILL);
        waitForAnswers(load, 200);
        load.stop();
        checkOutcomes(target, load);
        CHECK(target.audit().startedTwice().empty());
        CHECK(load.count("done") > 200);
        CHECK(load.count("no_answer") == 0);
    }
}

TEST_CASE("The holder of a pool is frozen and resumes after another daemon has taken over", "[failure]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);
    const int holder = target.holderOf("shifts");
    Sessions::load_generator load(
        target, { .callers = 8, .idempotent = false, .daemons = { (holder + 1) % 3, (holder + 2) % 3 } });
    waitForAnswers(load, 50);
    target.daemon(holder).signal(SIGSTOP);
    const int other = (holder + 1) % 3;
    waitUntil("another daemon holds the pool", [&] {
        const std::string pools = target.state(other, "pools").body;
        return pools.find("\"holder\":\"e") != std::string::npos
            && pools.find("\"holder\":\"e" + std::to_string(holder)) == std::string::npos;
    });
    waitForAnswers(load, 50);
    target.daemon(holder).signal(SIGCONT);
    waitForAnswers(load, 50);
    target.waitReady(holder);
    load.stop();
    checkOutcomes(target, load);
    CHECK(target.audit().startedTwice().empty());
    CHECK(target.audit().maxRunning("day") <= 16);
}

TEST_CASE("The holder of a pool is shut down while non-idempotent tasks run longer than the handover takes", "[failure]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6, .extraSettings = "[timing]\nbalancer_grace_ms = 300\n" });
    target.startAll();
    target.setUpShifts("day", 24);
    const int holder = target.holderOf("shifts");
    Sessions::load_generator load(target,
        { .callers = 12, .runMillis = 2500, .idempotent = false, .daemons = { (holder + 1) % 3, (holder + 2) % 3 } });
    waitUntil("all callers' tasks run", [&] { return target.audit().runningNow("day") == 12; });
    target.daemon(holder).signal(SIGTERM);
    CHECK(target.daemon(holder).wait() == 0);
    waitForAnswers(load, 24);
    load.stop();
    checkOutcomes(target, load);
    CHECK(load.count("done") == load.finished());
    CHECK(target.audit().startedTwice().empty());
}

TEST_CASE("All daemons are killed and restarted at once", "[failure]")
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

TEST_CASE("Workers lose answers, fail tasks, stop responding or leave", "[failure]")
{
    Sessions::deployment target({ .daemons = 2, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);

    SECTION("starts whose answer is lost are resolved over new connections, and no task runs twice")
    {
        for (int worker = 0; worker < target.workers(); ++worker)
            target.worker(worker).faults().set("loseStarts", 2);
        Sessions::load_generator load(target, { .callers = 6, .idempotent = false, .daemons = { 0, 1 } });
        waitForAnswers(load, 60);
        load.stop();
        checkOutcomes(target, load);
        CHECK(target.audit().startedTwice().empty());
        CHECK(load.count("done") == load.finished());
    }
    SECTION("truncated answers never reach a caller")
    {
        for (int worker = 0; worker < target.workers(); ++worker)
            target.worker(worker).faults().set("cutAnswers", 3);
        Sessions::load_generator load(target, { .callers = 6, .daemons = { 0, 1 } });
        waitForAnswers(load, 60);
        load.stop();
        checkOutcomes(target, load);
        CHECK(load.count("done") == load.finished());
    }
    SECTION("a worker that fails all its tasks gets few more")
    {
        target.worker(0).faults().set("failAll", 1);
        Sessions::load_generator load(target, { .callers = 6, .daemons = { 0, 1 } });
        waitForAnswers(load, 300);
        load.stop();
        checkOutcomes(target, load);
        CHECK(load.count("done") == load.finished());
        CHECK(target.audit().startsOn(Sessions::workerName(0), {}) < load.finished() / 6);
    }
    SECTION("a worker that stops responding for good blocks no request")
    {
        target.worker(0).faults().set("silent", 3'600'000);
        Sessions::load_generator load(target, { .callers = 6, .daemons = { 0, 1 } });
        waitForAnswers(load, 100);
        load.stop();
        checkOutcomes(target, load);
        CHECK(load.count("done") == load.finished());
        target.worker(0).faults().set("silent", 0);
    }
    SECTION("a leaving worker gets no new task although it is still in the instance list")
    {
        target.worker(0).faults().set("leaving", 1);
        const auto since = Common::boot_clock::now() + std::chrono::seconds(5);
        Sessions::load_generator load(target, { .callers = 6, .daemons = { 0, 1 } });
        waitUntil("a few seconds are over", [&] { return Common::boot_clock::now() > since; });
        waitForAnswers(load, 100);
        load.stop();
        checkOutcomes(target, load);
        CHECK(target.audit().startsOn(Sessions::workerName(0), since) == 0);
    }
}
