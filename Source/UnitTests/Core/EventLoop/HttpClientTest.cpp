#include "EventLoop/HttpClient.h"
#include "EventLoop/EventLoop.h"
#include "EventLoop/HttpListener.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using EventLoop::call_failure;
using std::chrono::milliseconds;

namespace {

constexpr Common::millis longTimeout { 20'000 };

/// Listener that answers all requests but those to /silent.
struct client_fixture {
    client_fixture()
        : listener(loop, { "127.0.0.1", 0 }, {},
            [this](const EventLoop::http_request& request, const EventLoop::responder& respond) {
                ++requests;
                if (request.target == "/silent")
                    unanswered.push_back(respond);
                else
                    respond({ .status = 200, .body = request.method + ' ' + request.contentType + ' ' + request.body });
            })
    {
        REQUIRE(listener.start());
    }

    EventLoop::http_client_options options(int maxConnections = 1)
    {
        return { .server = { "127.0.0.1", listener.port() }, .maxConnections = maxConnections };
    }

    void runFor(milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
        loop.restart();
    }

    EventLoop::call_result call(EventLoop::http_client& client, const EventLoop::http_request& request)
    {
        EventLoop::call_result result;
        client.call(request, longTimeout, [this, &result](EventLoop::call_result answer) {
            result = std::move(answer);
            loop.stop();
        });
        loop.run();
        loop.restart();
        return result;
    }

    EventLoop::event_loop loop;
    std::vector<EventLoop::responder> unanswered;
    int requests { 0 };
    EventLoop::http_listener listener;
};

/// Server that answers its first request with the given pieces and closes the connection.
class scripted_server {
public:
    explicit scripted_server(std::vector<std::string> pieces)
        : m_handle(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::bind(m_handle, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_handle, 1) == 0);
        REQUIRE(::getsockname(m_handle, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, pieces = std::move(pieces)] { serve(pieces); });
    }
    ~scripted_server()
    {
        m_thread.join();
        ::close(m_handle);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void serve(const std::vector<std::string>& pieces) const
    {
        const int connection = ::accept(m_handle, nullptr, nullptr);
        std::array<char, 4096> request {};
        (void)::recv(connection, request.data(), request.size(), 0);
        for (const auto& piece : pieces) {
            (void)::send(connection, piece.data(), piece.size(), MSG_NOSIGNAL);
            std::this_thread::sleep_for(milliseconds(20));
        }
        ::close(connection);
    }

    int m_handle;
    std::uint16_t m_port { 0 };
    std::thread m_thread;
};

EventLoop::call_result callScripted(std::vector<std::string> pieces)
{
    const scripted_server server(std::move(pieces));
    EventLoop::event_loop loop;
    EventLoop::http_client client(loop, { .server = { "127.0.0.1", server.port() } });
    EventLoop::call_result result;
    client.call({ .method = "GET", .target = "/" }, longTimeout, [&](EventLoop::call_result answer) {
        result = std::move(answer);
        loop.stop();
    });
    loop.run();
    return result;
}

}

TEST_CASE("A call that waits for a connection past its deadline fails as not sent", "[eventloop]")
{
    client_fixture fixture;
    EventLoop::http_client client(fixture.loop, fixture.options());
    std::optional<EventLoop::call_result> first;
    std::optional<EventLoop::call_result> queued;
    client.call({ .method = "GET", .target = "/silent" }, longTimeout, [&](auto result) { first = std::move(result); });
    client.call({ .method = "POST", .target = "/order" }, milliseconds(100), [&](auto result) { queued = std::move(result); });
    fixture.runFor(milliseconds(1000));
    REQUIRE(queued);
    CHECK_FALSE(queued->response);
    CHECK(queued->failure == call_failure::NotSent);
    CHECK_FALSE(first);

    // It isn't sent when the connection is free again.
    fixture.unanswered.front()({ .status = 200 });
    fixture.runFor(milliseconds(100));
    CHECK(first);
    CHECK(fixture.requests == 1);
}

TEST_CASE("Calls end at their deadlines, in whichever order they were made", "[eventloop]")
{
    client_fixture fixture;
    EventLoop::http_client client(fixture.loop, fixture.options(2));
    std::vector<std::string> ended;
    client.call({ .method = "GET", .target = "/silent" }, milliseconds(3000), [&](const auto& result) {
        ended.emplace_back(result.failure == call_failure::NoAnswer ? "long" : "wrong");
    });
    client.call({ .method = "GET", .target = "/silent" }, milliseconds(100), [&](const auto& result) {
        ended.emplace_back(result.failure == call_failure::NoAnswer ? "short" : "wrong");
    });
    fixture.runFor(milliseconds(1000));
    CHECK(ended == std::vector<std::string> { "short" });
    fixture.runFor(milliseconds(4000));
    CHECK(ended == std::vector<std::string> { "short", "long" });
}

TEST_CASE("Connections are reused until they have been idle for too long", "[eventloop]")
{
    client_fixture fixture;
    auto options = fixture.options();
    options.idleTimeout = milliseconds(2000);
    EventLoop::http_client client(fixture.loop, options);
    for (int round = 0; round < 3; ++round)
        CHECK(fixture.call(client, { .method = "POST", .target = "/", .body = "b" }).response->body == "POST application/json b");
    CHECK(client.connectionsOpened() == 1);
    fixture.runFor(milliseconds(4000));
    CHECK(fixture.call(client, { .method = "GET", .target = "/" }).response);
    CHECK(client.connectionsOpened() == 2);
}

TEST_CASE("Requests and responses that don't fit into socket buffers arrive complete", "[eventloop]")
{
    EventLoop::event_loop loop;
    EventLoop::http_listener listener(loop, { "127.0.0.1", 0 }, { .bodyBytes = 32UL * 1024 * 1024 },
        [](const auto& request, const auto& respond) { respond({ .status = 200, .body = request.body }); });
    REQUIRE(listener.start());
    EventLoop::http_client client(loop, { .server = { "127.0.0.1", listener.port() } });
    const std::string large(12UL * 1024 * 1024, 'x');
    std::optional<EventLoop::call_result> result;
    client.call({ .method = "POST", .target = "/", .body = large }, longTimeout, [&](auto answer) {
        result = std::move(answer);
        loop.stop();
    });
    loop.run();
    REQUIRE(result->response);
    CHECK(result->response->body == large);
}

TEST_CASE("A failure is reported after call() has returned", "[eventloop]")
{
    EventLoop::event_loop loop;
    EventLoop::http_client client(loop, { .server = { "not an address", 1 } });
    std::optional<EventLoop::call_result> result;
    client.call({ .method = "GET", .target = "/" }, longTimeout, [&](auto answer) {
        result = std::move(answer);
        loop.stop();
    });
    CHECK_FALSE(result);
    loop.run();
    REQUIRE(result);
    CHECK(result->failure == call_failure::NotSent);
}

TEST_CASE("Calls end when their client is gone", "[eventloop]")
{
    client_fixture fixture;
    auto client = std::make_unique<EventLoop::http_client>(fixture.loop, fixture.options());
    int failures = 0;
    const auto count = [&failures](const EventLoop::call_result& result) { failures += result.response ? 0 : 1; };
    client->call({ .method = "GET", .target = "/silent" }, milliseconds(300), count);
    client->call({ .method = "GET", .target = "/silent" }, milliseconds(200), count);
    fixture.runFor(milliseconds(50));
    client.reset();
    fixture.runFor(milliseconds(1000));
    CHECK(failures == 2);
}

TEST_CASE("Responses are read in all forms of HTTP/1.1, and malformed ones fail", "[eventloop]")
{
    SECTION("with a length, in pieces")
    {
        const auto result = callScripted({ "HTTP/1.1 20", "0 OK\r\nContent-Le", "ngth: 5\r\n\r\nhe", "llo" });
        REQUIRE(result.response);
        CHECK(result.response->status == 200);
        CHECK(result.response->body == "hello");
    }

    SECTION("without a body")
    {
        const auto result = callScripted({ "HTTP/1.1 204 No Content\r\n\r\n" });
        REQUIRE(result.response);
        CHECK(result.response->status == 204);
        CHECK(result.response->body.empty());
    }

    SECTION("in chunks")
    {
        const auto result = callScripted(
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", "2\r\nlo\r\n0\r\n\r\n" });
        REQUIRE(result.response);
        CHECK(result.response->body == "hello");
    }

    SECTION("ended by the end of the connection")
    {
        const auto result = callScripted({ "HTTP/1.1 200 OK\r\n\r\nhel", "lo" });
        REQUIRE(result.response);
        CHECK(result.response->body == "hello");
    }

    SECTION("cut off")
    {
        CHECK(callScripted({}).failure == call_failure::NoAnswer);
        CHECK(callScripted({ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe" }).failure == call_failure::NoAnswer);
        CHECK(callScripted({ "HTTP/1.1 200 OK\r\nContent-Le" }).failure == call_failure::NoAnswer);
    }

    SECTION("malformed or too large")
    {
        CHECK(callScripted({ "what?\r\n\r\n" }).failure == call_failure::NoAnswer);
        CHECK(callScripted({ "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nhe" }).failure == call_failure::NoAnswer);
    }
}
