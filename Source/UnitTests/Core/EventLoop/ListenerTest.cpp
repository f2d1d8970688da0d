#include "EventLoop/EventLoop.h"
#include "EventLoop/HttpClient.h"
#include "EventLoop/HttpListener.h"
#include "EventLoop/TrafficMeter.h"
#include "RawConnection.h"

#include <catch2/catch.hpp>

namespace {

struct listener_fixture {
    listener_fixture()
        : listener(loop, { "127.0.0.1", 0 }, {},
            [](const EventLoop::http_request& request, const EventLoop::responder& respond) {
                respond({ .status = 200, .body = request.method + ' ' + request.target + ' ' + request.body });
            })
    {
        REQUIRE(listener.start());
    }

    EventLoop::call_result call(const EventLoop::http_request& request)
    {
        EventLoop::http_client client(loop, { .server = { "127.0.0.1", listener.port() } });
        EventLoop::call_result result;
        client.call(request, std::chrono::seconds(20), [this, &result](EventLoop::call_result answer) {
            result = std::move(answer);
            loop.stop();
        });
        loop.run();
        return result;
    }

    EventLoop::event_loop loop;
    EventLoop::http_listener listener;
};

}

TEST_CASE("Connections with an incomplete request don't block other connections", "[eventloop]")
{
    constexpr int stalledCallers = 250;
    listener_fixture fixture;
    std::vector<int> handles;
    for (int caller = 0; caller < stalledCallers; ++caller)
        handles.push_back(openAndSend(fixture.listener.port(), "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf"));
    const auto result = fixture.call({ .method = "GET", .target = "/ready" });
    REQUIRE(result.response);
    CHECK(result.response->status == 200);
    CHECK(result.response->body == "GET /ready ");
    CHECK(fixture.listener.openRequests() == 0);
    for (const int handle : handles)
        ::close(handle);
}

TEST_CASE("A call to a port without a listener fails as not sent", "[eventloop]")
{
    EventLoop::event_loop loop;
    // The port is free again when the probe has been destroyed.
    std::uint16_t port = 0;
    {
        EventLoop::http_listener probe(loop, { "127.0.0.1", 0 }, {}, [](const auto&, const auto&) {});
        REQUIRE(probe.start());
        port = probe.port();
        probe.drain();
    }
    EventLoop::http_client client(loop, { .server = { "127.0.0.1", port } });
    EventLoop::call_result result;
    client.call({ .method = "GET", .target = "/" }, std::chrono::seconds(20), [&](EventLoop::call_result answer) {
        result = std::move(answer);
        loop.stop();
    });
    loop.run();
    CHECK_FALSE(result.response);
    CHECK(result.failure == EventLoop::call_failure::NotSent);
}

TEST_CASE("A request whose body is too large is rejected", "[eventloop]")
{
    listener_fixture fixture;
    const auto tooLarge = fixture.call({ .method = "POST", .target = "/a", .body = std::string(300000, 'x') });
    REQUIRE(tooLarge.response);
    CHECK(tooLarge.response->status == 413);
}

TEST_CASE("A request that announces an immense body is rejected", "[eventloop]")
{
    listener_fixture fixture;
    const int handle = openAndSend(
        fixture.listener.port(), "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999\r\n\r\nhalf");
    fixture.loop.after(std::chrono::seconds(1), [&fixture] { fixture.loop.stop(); });
    fixture.loop.run();
    std::string answer(64, '\0');
    const auto size = ::recv(handle, answer.data(), answer.size(), MSG_DONTWAIT);
    CHECK(size > 0);
    CHECK(answer.starts_with("HTTP/1.1 413 "));
    ::close(handle);
}

TEST_CASE("Client and listener count the bytes of their messages by kind", "[eventloop]")
{
    EventLoop::event_loop loop;
    EventLoop::traffic_meter served;
    EventLoop::traffic_meter sent;
    const std::string body(700, 'x');
    EventLoop::http_listener listener(
        loop, { "127.0.0.1", 0 }, {},
        [&body](const EventLoop::http_request&, const EventLoop::responder& respond) {
            respond({ .status = 200, .body = body });
        },
        &served, "callers");
    REQUIRE(listener.start());
    EventLoop::http_client client(loop, { .server = { "127.0.0.1", listener.port() }, .meter = &sent });
    client.call({ .method = "POST", .target = "/a", .body = "{}", .kind = "start" }, std::chrono::seconds(20),
        [&client, &loop](const EventLoop::call_result&) {
            client.call({ .method = "GET", .target = "/b", .kind = "poll" }, std::chrono::seconds(20),
                [&loop](const EventLoop::call_result&) { loop.stop(); });
        });
    loop.run();
    REQUIRE(sent.all().size() == 2);
    const auto start = sent.all().at("start");
    CHECK(start.calls == 1);
    CHECK(start.sentBytes > 0);
    CHECK(start.receivedBytes > body.size());
    CHECK(sent.all().at("poll").sentBytes < start.sentBytes);

    SECTION("both sides count the same bytes")
    {
        const auto& count = served.all().at("callers");
        CHECK(count.calls == 2);
        CHECK(count.receivedBytes == start.sentBytes + sent.all().at("poll").sentBytes);
        CHECK(count.sentBytes == start.receivedBytes + sent.all().at("poll").receivedBytes);
    }
}

TEST_CASE("A large response is received in few turns of the event loop", "[eventloop]")
{
    constexpr std::size_t bodyBytes = 64 * 1024;
    constexpr int acceptedTurns = 40;
    EventLoop::event_loop loop;
    EventLoop::http_listener listener(loop, { "127.0.0.1", 0 }, {},
        [](const EventLoop::http_request&, const EventLoop::responder& respond) {
            respond({ .status = 200, .body = std::string(bodyBytes, 'x') });
        });
    REQUIRE(listener.start());
    EventLoop::http_client client(
        loop, { .server = { "127.0.0.1", listener.port() }, .readBufferBytes = bodyBytes });
    int turns = 0;
    std::function<void()> countTurn = [&] {
        ++turns;
        loop.after(Common::millis(0), countTurn);
    };
    std::size_t received = 0;
    client.call({ .method = "GET", .target = "/" }, std::chrono::seconds(20), [&](const EventLoop::call_result& result) {
        received = result.response ? result.response->body.size() : 0;
        loop.stop();
    });
    countTurn();
    loop.run();
    CHECK(received == bodyBytes);
    CHECK(turns < acceptedTurns);
}
