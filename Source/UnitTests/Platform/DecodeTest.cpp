#include "platform/Decode.h"
#include "platform/NodeSettings.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

TEST_CASE("Job request bodies are decoded", "[platform]")
{
    const auto spec = Platform::decodeJobSpec(
        R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900,"dataRack":"r1-3"},)"
        R"({"count":20,"cpu":2000,"memMb":1024,"dependsOn":[0],"checkpointing":true,"longRunning":true,"mayMiss":2}]})");
    REQUIRE(spec);
    REQUIRE(spec->steps.size() == 2);
    CHECK(spec->steps[0].request.processor.value == 500);
    CHECK(spec->steps[0].dataRack.value == "r1-3");
    CHECK(spec->steps[1].dependsOn == std::vector { 0 });
    CHECK(spec->steps[1].isLongRunning);
    CHECK(spec->steps[1].disruptionBudget == 2);
    CHECK_FALSE(Platform::decodeJobSpec(R"({"spec":"x","steps":[]})"));
    CHECK_FALSE(Platform::decodeJobSpec(R"({"spec":"x","steps":[{"count":1,"dependsOn":[0]}]})"));
    CHECK_FALSE(Platform::decodeJobSpec(R"({"spec":"x","steps":[{"count":"one"}]})"));
}

TEST_CASE("A valid worker registration is decoded, malformed ones are rejected, and no input makes a decoder throw", "[platform]")
{
    const auto entry = Platform::decodeWorker("i-1",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","labels":["a","r1"],)"
        R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"born":5,"seq":4})");
    REQUIRE(entry);
    CHECK(entry->rack.value == "r1");
    CHECK(entry->incarnationStartedAt.value == 5);
    CHECK_FALSE(Platform::decodeWorker("i-1", R"({"service":"s","address":"10.0.0.9:80","state":"odd"})"));
    CHECK_FALSE(Platform::decodeWorker("i-1", R"({"service":7})"));
    rc::prop("random bytes never throw", [](const std::string& bytes) {
        Platform::decodeWorker("i", bytes);
        Platform::decodeRules(bytes);
        Platform::decodeWave(bytes);
        Platform::decodeJobSpec(bytes);
        Platform::decodePollReply(200, bytes);
    });
}

TEST_CASE("A worker's capacity is decoded, and an entry without a valid one names no worker", "[platform]")
{
    const auto decode = [](const std::string& capacity) {
        return Platform::decodeWorker("i-1",
            R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","labels":["a","r1"],"born":5,"seq":4)"
                + capacity + "}");
    };

    SECTION("fields that are missing are 0")
    {
        const auto entry = decode(R"(,"capacity":{"memMb":512})");
        REQUIRE(entry);
        CHECK(entry->capacity == Jobs::resources { .memory = { 512 } });
    }
    SECTION("a capacity of 0 is valid")
    {
        const auto entry = decode(R"(,"capacity":{"cpu":0,"memMb":0,"gpu":0})");
        REQUIRE(entry);
        CHECK(entry->capacity == Jobs::resources {});
    }
    SECTION("a missing one isn't") { CHECK_FALSE(decode("")); }
    SECTION("nor one of another type")
    {
        CHECK_FALSE(decode(R"(,"capacity":null)"));
        CHECK_FALSE(decode(R"(,"capacity":7)"));
        CHECK_FALSE(decode(R"(,"capacity":[])"));
    }
    SECTION("nor one with a field of another type")
    {
        CHECK_FALSE(decode(R"(,"capacity":{"cpu":"4000"})"));
        CHECK_FALSE(decode(R"(,"capacity":{"cpu":null})"));
        CHECK_FALSE(decode(R"(,"capacity":{"cpu":true})"));
        CHECK_FALSE(decode(R"(,"capacity":{"memMb":{}})"));
    }
    SECTION("nor one out of range")
    {
        CHECK_FALSE(decode(R"(,"capacity":{"cpu":1e30})"));
        CHECK_FALSE(decode(R"(,"capacity":{"memMb":18446744073709551615})"));
        CHECK_FALSE(decode(R"(,"capacity":{"gpu":-1})"));
    }
}

TEST_CASE("Task names are encoded and decoded", "[platform]")
{
    const Jobs::task_name task { { "5c0e7a21d94b36f8" }, 2, 1, 17 };
    CHECK(Platform::encodeTaskName(task) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(Platform::decodeTaskName("5c0e7a21d94b36f8.2.1.17") == task);
    CHECK_FALSE(Platform::decodeTaskName("a.b"));
    CHECK_FALSE(Platform::decodeTaskName("a.1.2.x"));
}

TEST_CASE("Worker replies are mapped to outcomes", "[platform]")
{
    using Dispatch::order_outcome;
    CHECK(Platform::decodeOrderReply(200, R"({"clockMs":7,"born":9})").clock->value == 7);
    CHECK(Platform::decodeOrderReply(409, R"({"clockMs":7,"reason":"fence"})").outcome == order_outcome::Fenced);
    CHECK(Platform::decodeOrderReply(409, R"({"reason":"room"})").outcome == order_outcome::NoRoom);
    CHECK(Platform::decodeOrderReply(421, "").outcome == order_outcome::OtherIncarnation);
    CHECK(Platform::decodeOrderReply(503, "").outcome == order_outcome::Unhealthy);
    const auto pollReply = Platform::decodePollReply(200,
        R"({"clockMs":1,"running":[["j.0.1.2",3,"cp",41,200]],"finished":[[58,"j.0.1.9",1,"done",""]]})");
    REQUIRE(pollReply.running.size() == 1);
    CHECK(pollReply.running[0].load == 200);
    REQUIRE(pollReply.ended.size() == 1);
    CHECK(pollReply.ended[0].kind == Dispatch::end_kind::Done);
    CHECK(Platform::decodePollReply(200, R"({"clockMs":1})").base.outcome == order_outcome::Invalid);
}

TEST_CASE("A list of ends of the greatest length may have been cut, whether its rows can be read or not", "[platform]")
{
    const auto reply = [](int rows, const std::string& kind, const std::string& extra) {
        std::string list;
        for (int row = 1; row <= rows; ++row)
            list += (row > 1 ? ",[" : "[") + std::to_string(row) + ",\"a.0.0." + std::to_string(row) + "\",1,\"" + kind + "\",\"\"]";
        return Platform::decodePollReply(200, R"({"clockMs":1,"born":2,)" + extra + R"("running":[],"finished":[)" + list + "]}");
    };
    const auto kind = GENERATE(as<std::string> {}, "done", "unheard-of");
    // The second form isn't that of the workers, and is read from a tree.
    const auto extra = GENERATE(as<std::string> {}, "", "\"other\":1.5,");
    CHECK_FALSE(reply(499, kind, extra).mayHaveMoreEnds);
    CHECK(reply(500, kind, extra).mayHaveMoreEnds);
}

TEST_CASE("Complete settings are read, those without an address are rejected with the name of the field, and text that isn't TOML is reported", "[platform]")
{
    const std::string complete = "node = \"n\"\nzone = \"z\"\nip = \"10.0.0.1\"\ninternalPortRange = [7000, 7015]\n[listen]\nfront = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n"
                                 "[platform]\naddress = \"10.0.0.2:80\"\n[bounds]\ngraceS = 6\nstopMs = 250\nholdMaxMs = 9000\n";
    const auto result = Platform::parseNodeSettings(complete);
    REQUIRE(result.settings);
    CHECK(result.settings->stopGrace == std::chrono::seconds(6));
    CHECK(result.settings->workerBounds.stopTime == std::chrono::milliseconds(250));
    CHECK(result.settings->workerBounds.longestLease == std::chrono::seconds(9));
    CHECK_FALSE(result.settings->instanceManager);
    CHECK(result.settings->metrics->port == 7000);
    CHECK(result.settings->capacity == ControlPlane::instance_capacity());
    const auto limited = Platform::parseNodeSettings(complete + "[limits]\ncpuShare = 0.12\ncores = 2\nlinkMbps = 10.0\n");
    REQUIRE(limited.settings);
    CHECK(limited.settings->capacity == ControlPlane::instance_capacity { .processor = { 240 }, .link = { 10 } });
    const auto invalid = Platform::parseNodeSettings(complete + "[limits]\ncpuShare = \"all\"\nlinkMbps = -1\n");
    REQUIRE(invalid.settings);
    CHECK(invalid.settings->capacity == ControlPlane::instance_capacity());
    CHECK(result.settings->storeLimits.recordBytes == 262144);
    const auto withLimits = Platform::parseNodeSettings(
        "node = \"n\"\n[listen]\nfront = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n"
        "[platform]\naddress = \"10.0.0.2:80\"\nrecordBytes = 1000\ncallBytes = -1\n");
    REQUIRE(withLimits.settings);
    CHECK(withLimits.settings->storeLimits.recordBytes == 1000);
    CHECK(withLimits.settings->storeLimits.appendBytes == 2097152);
    const auto incomplete = Platform::parseNodeSettings("node = \"n\"\n");
    CHECK_FALSE(incomplete.settings);
    CHECK(incomplete.subject == "listen.front");
    CHECK(Platform::parseNodeSettings("node = ").error == Platform::settings_error::NotToml);
}
