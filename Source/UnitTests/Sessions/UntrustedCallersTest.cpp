#include "Sessions/Crowd.h"
#include "Sessions/Deployment.h"
#include "Sessions/LoadGenerator.h"
#include "platform/Names.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using Sessions::crowd;
using Sessions::crowd_script;
using Sessions::waitUntil;

namespace {

/// The settings of the process; the crowds would need several times as much.
constexpr std::size_t memoryMegabytes = 64;
constexpr std::size_t maxDescriptors = 256;
constexpr std::size_t kilobytesPerMegabyte = 1024;

/// One entry instance whose store can't be reached. It answers requests with 503.
class entry_process {
public:
    entry_process()
        : callers(Sessions::unusedPort())
        , readiness(Sessions::unusedPort())
        , m_settingsFile(std::filesystem::temp_directory_path() / ("loft-" + std::to_string(callers) + ".toml"))
        , m_process(startWith())
    {
        waitUntil("the process listens", [this] { return ordinaryStatus() != 0; });
    }

    ~entry_process()
    {
        std::filesystem::remove(m_settingsFile);
        std::filesystem::remove(m_settingsFile.string() + ".log");
    }

    int ordinaryStatus() const
    {
        return Sessions::statusOf(callers,
            "POST /jobs/00000000000000a1 HTTP/1.1\r\nHost: jobs\r\nContent-Length: 11\r\n\r\n"
            R"({"spec":""})");
    }

    int readinessStatus() const
    {
        return Sessions::statusOf(
            readiness, std::string("GET ") + Platform::Names::readyPath + " HTTP/1.1\r\nHost: probe\r\n\r\n");
    }

    /// The conditions that hold with the crowd still connected.
    void checkSound() const
    {
        const auto use = Sessions::useOf(m_process.id());
        CHECK(use.isAlive);
        CHECK(use.peakKilobytes <= memoryMegabytes * kilobytesPerMegabyte);
        CHECK(use.descriptors <= maxDescriptors);
        CHECK(ordinaryStatus() == 503);
        CHECK(readinessStatus() == 503);
        CHECK(Sessions::useOf(m_process.id()).isAlive);
    }

    const std::uint16_t callers;
    const std::uint16_t readiness;

private:
    Sessions::child_process startWith() const
    {
        const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream(m_settingsFile) << "node = \"e0\"\n[listen]\nfront = " << address(callers)
                                      << "ready = " << address(readiness)
                                      << "[platform]\naddress = " << address(Sessions::unusedPort())
                                      << "[limits]\nmemoryMb = " << memoryMegabytes << "\nmaxFds = " << maxDescriptors << "\n";
        const char* const program = std::getenv("LOFT_DAEMON");
        REQUIRE(program != nullptr);
        return { { program, "--platform" }, m_settingsFile.string() + ".log",
            { std::string(Platform::Names::settingsFileVariable) + "=" + m_settingsFile.string() } };
    }

    std::filesystem::path m_settingsFile;
    Sessions::child_process m_process;
};

std::string chunkedHead(const std::string& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: jobs\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunkOf(std::size_t size)
{
    char length[32];
    std::snprintf(length, sizeof length, "%zx\r\n", size);
    return length + std::string(size, 'a') + "\r\n";
}

/// One in ten ends its body, the others stop just short of the end.
std::vector<crowd_script> chunkedCrowd(int clients, std::size_t chunkBytes, int chunks, int chunksPerSend)
{
    constexpr int endsEvery = 10;
    std::string part;
    for (int count = 0; count < chunksPerSend; ++count)
        part += chunkOf(chunkBytes);
    std::vector<crowd_script> scripts;
    for (int index = 0; index < clients; ++index)
        scripts.push_back({ .head = chunkedHead("/jobs/00000000000000b" + std::to_string(index % endsEvery)),
            .part = part,
            .parts = chunks / chunksPerSend,
            .tail = index % endsEvery == 0 ? "0\r\n\r\n" : "0\r\n" });
    return scripts;
}

}

TEST_CASE("An entry instance bears callers that it can't trust", "[untrusted]")
{
    entry_process target;
    std::vector<crowd_script> scripts;

    SECTION("trailers without end behind chunked bodies")
    {
        const std::string field = "X-More: " + std::string(1000, 'a') + "\r\n";
        std::string fields;
        for (int count = 0; count < 16; ++count)
            fields += field;
        scripts.assign(60, { .head = chunkedHead("/jobs/00000000000000b1") + chunkOf(2) + "0\r\n", .part = fields, .parts = 128 });
    }
    SECTION("many large chunked bodies at once")
    {
        scripts = chunkedCrowd(300, 60'000, 4, 1);
    }
    SECTION("many bodies in very small chunks at once")
    {
        scripts = chunkedCrowd(300, 16, 12'800, 400);
    }
    SECTION("one chunk header without end on each connection")
    {
        scripts.assign(60, { .head = chunkedHead("/jobs/00000000000000b1") + "2;a=", .part = std::string(16'000, 'a'), .parts = 128 });
    }
    SECTION("many connections that have only begun a request")
    {
        scripts.assign(600, { .head = chunkedHead("/jobs/00000000000000b1") + chunkOf(100) });
    }
    crowd clients(target.callers, scripts);
    clients.sendAll();
    waitUntil("the process has read all", [&] { return !Sessions::hasUnread(target.callers); });
    target.checkSound();
}

TEST_CASE("An entry instance serves a request of the largest size in chunks of one byte", "[untrusted]")
{
    constexpr int largestBody = 262'144;
    const entry_process target;
    std::string request = chunkedHead("/jobs/00000000000000a1");
    for (int index = 0; index < largestBody; ++index)
        request += chunkOf(1);
    CHECK(Sessions::statusOf(target.callers, request + "0\r\n\r\n") == 503);
}

TEST_CASE("A daemon with its own interface bears callers that it can't trust", "[untrusted]")
{
    // The same in each run: one daemon, and eight clients that send 16 MB each.
    Sessions::deployment target({ .daemons = 1, .workers = 1, .extraSettings = "[limits]\ncaller_threads = 16\n" });
    target.startAll();
    target.setUpShifts("day", 4);
    std::vector<crowd_script> scripts;

    SECTION("chunked bodies without end")
    {
        scripts.assign(8, { .head = chunkedHead("/v1/requests"), .part = chunkOf(64'000), .parts = 250 });
    }
    SECTION("trailers without end")
    {
        std::string fields;
        for (int count = 0; count < 64; ++count)
            fields += "X-More: " + std::string(1000, 'a') + "\r\n";
        scripts.assign(8, { .head = chunkedHead("/v1/requests") + chunkOf(2) + "0\r\n", .part = fields, .parts = 250 });
    }
    SECTION("header lines without end")
    {
        scripts.assign(8, { .head = "POST /v1/requests HTTP/1.1\r\nX-More: ", .part = std::string(64'000, 'a'), .parts = 250 });
    }
    SECTION("many connections that have only begun a request")
    {
        scripts.assign(600, { .head = chunkedHead("/v1/requests") + chunkOf(100) });
    }
    {
        crowd clients(target.callersPort(0), scripts);
        clients.sendAll();
        waitUntil("the process has read all", [&] { return !Sessions::hasUnread(target.callersPort(0)); });
        const auto use = Sessions::useOf(target.daemon(0).id());
        CHECK(use.isAlive);
        CHECK(use.peakKilobytes <= memoryMegabytes * kilobytesPerMegabyte);
        CHECK(use.descriptors <= maxDescriptors);
    }
    waitUntil("the daemon is ready", [&] { return target.isReady(0); });
    CHECK(target.callers(0, "/v1/requests", Sessions::submissionOf({ .name = "ordinary" })).status == 200);
    // The largest body, in chunks of one byte.
    constexpr std::size_t largestBody = 1024 * 1024;
    std::string body = Sessions::submissionOf({ .name = "large" });
    body.resize(largestBody, ' ');
    std::string request = chunkedHead("/v1/requests");
    for (const char byte : body)
        request += std::string("1\r\n") + byte + "\r\n";
    CHECK(Sessions::statusOf(target.callersPort(0), request + "0\r\n\r\n") == 200);
    CHECK(Sessions::useOf(target.daemon(0).id()).isAlive);
}
