#include "Sessions/Deployment.h"
#include "Sessions/LoadGenerator.h"
#include "Sessions/Transcript.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace {

void runClient(Sessions::deployment& target, Sessions::transcript& session, const std::vector<std::string>& words)
{
    int code = 0;
    const std::string output = target.client(0, words, &code);
    session.client(words, output, code);
}

std::string reference(const std::string& id, const std::string& key)
{
    return R"({"id":")" + id + R"(","queue":"routing","key":")" + key + R"("})";
}

}

TEST_CASE("Requests, queued work and maintenance without failures", "[golden]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6 });
    target.startAll();
    target.setUpShifts("day", 8);
    Sessions::transcript session;

    session.say("routing checks through each daemon");
    for (int daemon = 0; daemon < 3; ++daemon) {
        const std::string name = "check-" + std::to_string(daemon);
        session.call(name, target.callers(daemon, "/v1/requests", Sessions::submissionOf({ .name = name })));
    }
    session.say("a kit release runs once, however often it is asked for");
    for (int daemon = 0; daemon < 3; ++daemon)
        session.call("kit-1", target.callers(daemon, "/v1/requests", Sessions::submissionOf({ .name = "kit-1", .idempotent = false })));
    CHECK(target.audit().starts("kit-1") == 1);
    session.say("a plan is queued, and found finished later at another daemon");
    session.call("plan-1",
        target.callers(0, "/v1/requests", Sessions::submissionOf({ .name = "plan-1", .runMillis = 50, .idempotent = false, .queued = true })));
    Sessions::waitUntil("the plan is finished", [&] {
        return target.callers(1, "/v1/requests/find", reference("plan-1", "key-day")).field("state") == "finished";
    });
    session.call("find plan-1", target.callers(1, "/v1/requests/find", reference("plan-1", "key-day")));
    session.say("an instance goes into maintenance and comes back");
    runClient(target, session, { "instance", "drain", "dc1-w0", "--why=reboot", "--id=drain-1" });
    runClient(target, session, { "instance", "return", "dc1-w0", "--why=done", "--id=return-1" });
    runClient(target, session, { "show", "instances" });
    session.compare("ordinary-day");
}

TEST_CASE("Bad input is refused with a typed reason", "[golden]")
{
    Sessions::deployment target({ .daemons = 1, .workers = 2 });
    target.startAll();
    target.setUpShifts("day", 8);
    Sessions::transcript session;

    session.say("callers");
    for (const char* body : { "", "{", "[]", "{\"id\":1}", R"({"id":"r","queue":"routing"})",
             R"({"id":"r","queue":"routing","deadlineMs":-5})",
             R"({"id":"r","queue":"routing","deadlineMs":5,"colour":"red"})" })
        session.call(body, target.callers(0, "/v1/requests", body));
    session.call("deep nesting", target.callers(0, "/v1/requests", std::string(50'000, '[')));
    session.call("too large", target.callers(0, "/v1/requests", std::string(2'000'000, 'x')));
    session.call("no such path", target.callers(0, "/v1/nothing", "{}"));
    session.say("keys and names");
    session.call("unknown key", target.callers(0, "/v1/requests", Sessions::submissionOf({ .name = "r", .key = "wrong" })));
    session.call("no key", target.callers(0, "/v1/requests", R"({"id":"r","queue":"routing","deadlineMs":500})"));
    session.call("another team's key", target.callers(0, "/v1/requests", Sessions::submissionOf({ .name = "r", .team = "evening", .key = "key-day" })));
    session.call("unknown queue", target.callers(0, "/v1/requests", Sessions::submissionOf({ .name = "r", .queue = "nowhere" })));
    session.call("never fits", target.callers(0, "/v1/requests", R"({"id":"r","queue":"routing","key":"key-day","deadlineMs":500,"needs":{"cores":500}})"));
    session.say("operators");
    session.call("unknown verb", target.change(0, "explode", "{}", "bad-1"));
    session.call("missing field", target.change(0, "drain", "{}", "bad-2"));
    session.call("unknown instance", target.change(0, "drain", R"({"instance":"nobody"})", "bad-3"));
    session.call("unknown data centre", target.change(0, "data-centre", R"({"name":"dc9","out":true})", "bad-4"));
    runClient(target, session, { "instance", "drain", "dc1-w0" });
    runClient(target, session, { "instance", "fly", "dc1-w0" });
    session.compare("bad-input");
    CHECK(target.audit().startsTotal() == 0);
}

TEST_CASE("A key is withdrawn in mid-session", "[golden]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 3 });
    target.startAll();
    target.setUpShifts("day", 8);
    Sessions::transcript session;

    session.call("before", target.callers(1, "/v1/requests", Sessions::submissionOf({ .name = "before" })));
    const std::string hash = target.stateList(0, "keys").at(0).at("hash");
    const auto withdrawn = target.change(0, "withdraw-key", R"({"hash":")" + hash + R"("})", "withdraw-1");
    session.call("withdraw", withdrawn);
    REQUIRE(withdrawn.field("state") == "accepted");
    for (int daemon = 0; daemon < 3; ++daemon) {
        const std::string name = "after-" + std::to_string(daemon);
        session.call(name, target.callers(daemon, "/v1/requests", Sessions::submissionOf({ .name = name })));
        session.call(name + " queued",
            target.callers(daemon, "/v1/requests", Sessions::submissionOf({ .name = name, .queued = true })));
    }
    session.compare("key-withdrawn");
    CHECK(target.audit().startsTotal() == 1);
}

TEST_CASE("Two operators revise a template and drain instances concurrently", "[golden]")
{
    Sessions::deployment target({ .daemons = 2, .workers = 4 });
    target.startAll();
    target.setUpShifts("day", 8);
    Sessions::transcript session;
    const auto revision = [](int expected, int limit) {
        return R"({"account":"account-day","expected":)" + std::to_string(expected)
            + R"(,"fields":{"teams":[{"team":"day","share":null,"upperLimit":)" + std::to_string(limit)
            + R"(}],"minAvailable":75,"maxInMaintenance":null}})";
    };
    session.say("both revise revision 1");
    session.call("first", target.change(0, "template", revision(1, 6), "race-1"));
    session.call("second", target.change(1, "template", revision(1, 4), "race-2"));
    session.say("the first is sent again after a lost answer");
    session.call("first again", target.change(1, "template", revision(1, 6), "race-1"));
    session.say("two drains of which the budget allows one");
    session.call("drain", target.change(0, "drain", R"({"instance":"dc1-w0"})", "race-3"));
    session.call("drain", target.change(1, "drain", R"({"instance":"dc2-w1"})", "race-4"));
    runClient(target, session, { "show", "templates", "--json" });
    runClient(target, session, { "show", "teams" });
    session.compare("operator-race");
}

TEST_CASE("All entry instances are restarted one after the other under load", "[restart]")
{
    Sessions::deployment target({ .daemons = 3, .workers = 6, .extraSettings = "[timing]\nbalancer_grace_ms = 300\n" });
    target.startAll();
    target.setUpShifts("day", 16);
    Sessions::transcript session;
    Sessions::load_generator idempotent(target, { .callers = 6, .daemons = { 0, 1, 2 } });
    Sessions::load_generator nonIdempotent(target, { .callers = 4, .idempotent = false, .daemons = { 0, 1, 2 }, .team = "day" });
    for (int daemon = 0; daemon < 3; ++daemon) {
        const int before = idempotent.finished() + nonIdempotent.finished();
        target.daemon(daemon).signal(SIGTERM);
        session.say("daemon " + std::to_string(daemon) + " exits with " + std::to_string(target.daemon(daemon).wait()));
        target.startDaemon(daemon);
        target.waitReady(daemon);
        Sessions::waitUntil("more requests are answered", [&] { return idempotent.finished() + nonIdempotent.finished() > before + 20; });
    }
    idempotent.stop();
    nonIdempotent.stop();
    for (auto* const load : { &idempotent, &nonIdempotent }) {
        int ownAnswers = 0;
        for (const auto& record : load->records()) {
            INFO(record.name << " " << record.outcome << " " << record.reason);
            CHECK(record.outcome == "done");
            ownAnswers += record.hasOwnAnswer ? 1 : 0;
        }
        session.say("each request answered with its own answer: " + std::string(ownAnswers == load->finished() ? "yes" : "no"));
    }
    session.say("requests started twice: " + std::to_string(target.audit().startedTwice().size()));
    session.compare("rolling-restart");
}
