#include "Entry/ApiCall.h"

#include <catch2/catch.hpp>

using Entry::call_refusal;
using Entry::call_verb;

namespace {

Rules::fleet_rules someRules()
{
    Rules::fleet_rules rules;
    rules.queues = { { .id = { "short" }, .host = "h.example", .pathPrefix = "/a/", .pool = { "p" } },
        { .id = { "long" }, .host = "h.example", .pathPrefix = "/a/b/", .pool = { "p" }, .isPublic = true } };
    rules.teams = { { .id = { "team" }, .keys = { "k1", "k2" } } };
    return rules;
}

constexpr auto identifier = "0123456789abcdef";

}

TEST_CASE("A call is checked against the rules", "[entry]")
{
    const auto rules = someRules();
    auto reason = call_refusal::None;
    const auto read = [&](const char* method, const std::string& target, const char* key, const char* host = "h.example") {
        return Entry::readCall(
            &rules, { .method = method, .host = host, .target = target, .authorization = key }, reason);
    };

    SECTION("the longest prefix selects the queue, the key the team")
    {
        const auto call = read("POST", std::string("/a/") + identifier, "Bearer k2");
        REQUIRE(call);
        CHECK(call->verb == call_verb::Submit);
        CHECK(call->queue.id.value == "short");
        CHECK(call->team.value == "team");
        CHECK(call->job.value == identifier);
        CHECK(read("GET", std::string("/a/b/") + identifier, "")->queue.id.value == "long");
    }
    SECTION("the port of the host and the query are ignored")
    {
        CHECK(read("GET", std::string("/a/") + identifier + "?x=1", "Bearer k1", "h.example:80"));
    }
    SECTION("a count has no identifier")
    {
        CHECK(read("GET", "/a/", "Bearer k1")->verb == call_verb::CountWaiting);
        CHECK_FALSE(read("POST", "/a/", "Bearer k1"));
        CHECK(reason == call_refusal::WrongMethod);
    }
    SECTION("refusals give the reason")
    {
        CHECK_FALSE(read("GET", "/x/", "Bearer k1"));
        CHECK(Entry::statusOf(reason) == 404);
        CHECK_FALSE(read("GET", "/a/", "Bearer nobody"));
        CHECK(Entry::statusOf(reason) == 401);
        CHECK_FALSE(read("GET", "/a/", ""));
        CHECK(reason == call_refusal::UnknownKey);
        CHECK_FALSE(read("GET", "/a/xyz", "Bearer k1"));
        CHECK(Entry::statusOf(reason) == 400);
        CHECK_FALSE(Entry::readCall(nullptr, {}, reason));
        CHECK(Entry::statusOf(reason) == 503);
    }
}
