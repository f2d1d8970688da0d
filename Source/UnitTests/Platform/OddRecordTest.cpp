#include "platform/Decode.h"
#include "platform/InstanceClient.h"
#include "platform/RecordFeeds.h"
#include "platform/StoreReplies.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace {

EventLoop::call_result reply(int status, std::string body)
{
    return { .response = EventLoop::http_response { .status = status, .body = std::move(body) } };
}

/// Values that another writer may leave in a field.
const std::vector<std::string>& oddValues()
{
    static const std::vector<std::string> values { "null", "true", "{}", "[]", "-1", "1e18", "1e300", "-1e300", "1e999",
        "18446744073709551615", "9223372036854775808", "-9223372036854775809", "1.5", "\"\"", "\"x\"", "\"\\u0000\"",
        std::string(200'000, '['), std::string(20, '[') + std::string(20, ']'),
        std::string(100'000, '{'), "\"" + std::string(100'000, 'y') + "\"" };
    return values;
}

const std::vector<std::string> workerFields { "service", "address", "zone", "version", "slots", "state", "coldRemainingMs",
    "seq", "labels", "capacity", "born", "remainingMs" };

std::string workerEntry(const std::string& replaced = {}, const std::string& value = {})
{
    std::map<std::string, std::string> fields { { "service", "\"s\"" }, { "address", "\"10.0.0.9:80\"" },
        { "zone", "\"z\"" }, { "version", "\"1\"" }, { "slots", "8" }, { "state", "\"ready\"" }, { "coldRemainingMs", "0" },
        { "seq", "4" }, { "labels", R"(["a","r1"])" }, { "capacity", R"({"cpu":16000,"memMb":32768})" }, { "born", "5" },
        { "remainingMs", "0" } };
    if (!replaced.empty())
        fields[replaced] = value;
    std::string text;
    for (const auto& [name, content] : fields)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    return text + '}';
}

struct recording_listener : ControlPlane::worker_listener {
    void workerRegistered(const Dispatch::worker_entry& entry) override { workers[entry.id.value] = entry; }
    void workerUnregistered(const Common::worker_id& id) override { workers.erase(id.value); }

    std::map<std::string, Dispatch::worker_entry> workers;
};

}

TEST_CASE("An odd entry among the registrations names no worker, and the others hold", "[platform]")
{
    recording_listener listener;
    Platform::worker_feed feed(listener);
    const auto put = [&feed](const std::string& id, const std::string& value) {
        feed.apply({ .key = id, .value = value });
        feed.batchApplied();
    };
    put("i-1", workerEntry());
    REQUIRE(listener.workers.size() == 1);

    SECTION("whatever a field holds, the reader goes on")
    {
        for (const auto& field : workerFields) {
            for (const auto& value : oddValues())
                CHECK_NOTHROW(put("i-odd", workerEntry(field, value)));
        }
        put("i-odd", "");
        put("i-2", workerEntry());
        CHECK(listener.workers.size() == 2);
    }
    SECTION("a port out of range")
    {
        for (const auto* port : { "0", "65536", "99999", "-1", "4294967376", "80x", "" }) {
            put("i-odd", workerEntry("address", std::string("\"10.0.0.9:") + port + "\""));
            CHECK(listener.workers.size() == 1);
        }
    }
    SECTION("a number too large for a time or an amount")
    {
        for (const auto* number : { "1e300", "18446744073709551615", "9223372036854775807", "-1" }) {
            put("i-odd", workerEntry("born", number));
            put("i-odd-2", workerEntry("capacity", std::string(R"({"cpu":)") + number + '}'));
            CHECK(listener.workers.size() == 1);
        }
    }
    SECTION("an id that no order can carry")
    {
        for (const auto* id : { "", "i 1", "i\r\nX-Other: 1", "i\x7f", "\xc3\xa9" })
            put(id, workerEntry());
        CHECK(listener.workers.size() == 1);
    }
    SECTION("one in place of a worker's own entry")
    {
        put("i-1", std::string(100'000, '['));
        CHECK(listener.workers.empty());
        put("i-1", workerEntry());
        CHECK(listener.workers.size() == 1);
    }
}

TEST_CASE("A page of newest records with an odd value is read as a whole", "[platform]")
{
    const auto page = Platform::decodeNewestReply(reply(200,
        R"({"items":[{"key":"a","value":"eA==","offset":1},{"key":"b","value":"*not base64*","offset":2},)"
        R"({"key":"c","value":"eQ==","offset":3}],"more":false,"end":4})"));
    REQUIRE(page.isRead);
    REQUIRE(page.records.size() == 3);
    CHECK(page.records[0].value == "x");
    CHECK_FALSE(Platform::decodeWorker("b", page.records[1].value));
    CHECK(page.records[2].value == "y");
}

TEST_CASE("No reply of the store makes its reader throw", "[platform]")
{
    using Records::append_outcome;
    for (const auto& value : oddValues()) {
        for (const int status : { 200, 409, 412, 429, 500, 503, 507 }) {
            CHECK_NOTHROW(Platform::decodeAppendReply(reply(status, R"({"reason":)" + value + R"(,"offset":)" + value + '}')));
            CHECK_NOTHROW(Platform::decodeNewestReply(reply(status, R"({"items":[{"key":)" + value + "}]}")));
            CHECK_NOTHROW(Platform::decodeOrderReply(status, R"({"reason":)" + value + R"(,"clockMs":)" + value + '}'));
            CHECK_NOTHROW(Platform::decodePollReply(status, R"({"running":)" + value + R"(,"finished":)" + value + '}'));
        }
        CHECK_NOTHROW(Platform::decodeRules(R"({"version":)" + value + R"(,"routes":[],"services":[]})"));
        CHECK_NOTHROW(Platform::decodeWave(R"({"wave":1,"machines":[],"durationS":)" + value + '}'));
    }
    CHECK(Platform::decodeAppendReply(reply(200, R"({"offset":7,"end":8})")).outcome == append_outcome::Stored);
    // What was stored where isn't known, so it is sent again at the same sequence.
    CHECK(Platform::decodeAppendReply(reply(200, R"({"offset":"7"})")).outcome == append_outcome::Unknown);
    CHECK(Platform::decodeAppendReply(reply(409, R"({"reason":7})")).outcome == append_outcome::OutOfSequence);
    rc::prop("random replies never throw", [](const std::string& bytes, std::uint8_t from) {
        Platform::decodeReadReply(reply(200, bytes), { from });
        Platform::decodeNewestReply(reply(200, bytes));
        Platform::decodeAppendReply(reply(200, bytes));
    });
}

TEST_CASE("A job that asks for more than an instance can keep is refused", "[platform]")
{
    const auto decode = [](const std::string& fields) {
        return Platform::decodeJobSpec(R"({"spec":"x","steps":[{"count":4000,"cpu":1}])" + fields + '}');
    };
    CHECK(decode(""));
    CHECK(decode(R"(,"repetitions":60,"startAtMs":1,"intervalMs":1000)"));
    CHECK_FALSE(decode(R"(,"repetitions":2000000000,"startAtMs":0,"intervalMs":0)"));
    CHECK_FALSE(decode(R"(,"repetitions":-1)"));
    for (const auto& value : oddValues()) {
        CHECK_NOTHROW(decode(R"(,"repetitions":)" + value));
        CHECK_NOTHROW(Platform::decodeJobSpec(R"({"steps":[{"count":)" + value + R"(,"estimatedMs":)" + value + "}]}"));
    }
    CHECK_FALSE(Platform::decodeJobSpec(R"({"steps":[{"count":1,"estimatedMs":1e300}]})"));
}
