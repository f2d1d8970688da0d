#include "Sessions/Deployment.h"
#include "Sessions/LoadGenerator.h"

#include <catch2/catch.hpp>
#include <csignal>

using Sessions::waitUntil;

namespace {

void waitForAnswers(const Sessions::load_generator& load, int more)
{
    const int before = load.finished();
    waitUntil("more requests are answered", [&] { return load.finished() >= before + more; });
}

}

TEST_CASE("A team never runs more tasks than its upper limit while daemons are killed", "[limits]")
{
    constexpr int upperLimit = 5;
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", upperLimit);
    REQUIRE(target.change(0, "queue", R"({"queue":"cutting","pool":"shifts2"})").status == 200);
    Sessions::load_generator load(target, { .callers = 12, .runMillis = 60, .daemons = { 0, 1, 2 } });
    waitForAnswers(load, 40);
    CHECK(target.audit().maxRunning("day") == upperLimit);
    for (int daemon = 0; daemon < 3; ++daemon) {
        target.daemon(daemon).signal(SIGKILL);
        target.daemon(daemon).wait();
        target.startDaemon(daemon);
        waitForAnswers(load, 40);
        target.waitReady(daemon);
    }
    waitForAnswers(load, 40);
    load.stop();
    CHECK(target.audit().maxRunning("day") <= upperLimit);
}

TEST_CASE("No task starts in a data centre that operators took out of service a few seconds ago", "[limits]")
{
    // The lease is longer than the freeze, so that the frozen daemon is still a member when the change is made.
    Sessions::deployment target({ .daemons = 3, .workers = 6, .extraSettings = "[timing]\nlease_ms = 12000\n" });
    target.startAll();
    target.setUpShifts("day", 16);
    Sessions::load_generator load(target, { .callers = 8, .daemons = { 0, 1, 2 } });
    waitForAnswers(load, 100);
    const int holder = target.holderOf("shifts");
    const int frozen = (holder + 1) % 3;
    target.daemon(frozen).signal(SIGSTOP);
    const auto out = target.change(holder, "data-centre", R"({"name":"dc1","out":true})", "out-1");

    SECTION("the change is pending and names the unconfirmed daemon while one is frozen")
    {
        CHECK(out.field("state") == "pending");
        CHECK(out.body.find("e" + std::to_string(frozen)) != std::string::npos);
    }
    target.daemon(frozen).signal(SIGCONT);
    const auto since = Common::boot_clock::now() + std::chrono::seconds(3);
    waitUntil("a few seconds are over", [&] { return Common::boot_clock::now() > since; });
    waitForAnswers(load, 200);
    CHECK(target.audit().startsOn("dc1", since) == 0);

    SECTION("tasks start there again after it is back in service")
    {
        waitUntil("the data centre is back in service", [&] {
            return target.change(0, "data-centre", R"({"name":"dc1","out":false})", "in-1").field("state") == "accepted";
        });
        const auto back = Common::boot_clock::now();
        waitForAnswers(load, 200);
        CHECK(target.audit().startsOn("dc1", back) > 0);
    }
    load.stop();
}

TEST_CASE("An instance moves between pools under load and is never used by both", "[limits]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 16);
    REQUIRE(target.change(0, "queue", R"({"queue":"cutting","pool":"cutters"})").status == 200);
    Sessions::load_generator load(target, { .callers = 8, .runMillis = 100, .daemons = { 0, 1, 2 } });
    waitForAnswers(load, 50);
    REQUIRE(target.change(0, "move", R"({"instance":"dc1-w0","pool":"cutters"})").status == 200);
    const auto phaseOf = [&](int daemon) {
        const auto instances = target.stateList(daemon, "instances");
        for (const auto& entry : instances) {
            if (entry.at("instance") == "dc1-w0")
                return entry.at("pool").get<std::string>() + " " + entry.at("phase").get<std::string>();
        }
        return std::string();
    };
    waitUntil("the instance has joined its new pool", [&] { return phaseOf(0) == "cutters in_pool"; });
    const auto moved = Common::boot_clock::now();
    waitForAnswers(load, 100);
    CHECK(target.audit().startsOn("dc1-w0", moved) == 0);
    const auto answer = target.callers(1, "/v1/requests", Sessions::submissionOf({ .name = "cut-1", .queue = "cutting" }));
    CHECK(answer.field("outcome") == "done");
    load.stop();
    CHECK(load.count("done") == load.finished());
}
