#include "EventLoop/EventLoop.h"
#include "EventLoop/HttpClient.h"
#include "EventLoop/HttpListener.h"
#include "EventLoop/TrafficMeter.h"
#include "RawConnection.h"

#include <catch2/catch.hpp>
#include <stdexcept>

namespace {

struct listener_fixture {
    listener_fixture()
        : listener(loop, { "127.0.0.1", 0 }, {},
            [this](const EventLoop::http_request& request, const EventLoop::responder& respond) {
                ++requests;
                if (onRequest)
                    onRequest();
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

    void runFor(Common::millis time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
        loop.restart();
    }

    /// Runs the loop until the condition is true, for a limited number of turns.
    void runUntil(const std::function<bool()>& condition)
    {
        constexpr int maxTurns = 1000;
        for (int turn = 0; turn < maxTurns && !condition(); ++turn)
            runFor(Common::millis(10));
    }

    /// Drains the listener until it has closed all connections, as an entry instance does when it stops.
    void runUntilClosed()
    {
        runUntil([this] {
            listener.drain();
            return listener.openConnections() == 0;
        });
    }

    std::function<void()> onRequest;
    int requests { 0 };
    std::string received;
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

TEST_CASE("A request that has arrived when the listener drains is answered", "[eventloop]")
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto answered = [](const std::string& answers, const std::string& target) {
        return answers.find("GET " + target + ' ') != std::string::npos;
    };
    listener_fixture fixture;
    int handle = -1;

    SECTION("on a connection that waits to be accepted")
    {
        handle = openAndSend(fixture.listener.port(), first);
        fixture.listener.drain();
        fixture.runUntilClosed();
        CHECK(answered(receivedBytes(handle), "/1"));
    }
    SECTION("on idle connections, before the listener reads it")
    {
        handle = openAndSend(fixture.listener.port(), first);
        fixture.runUntil([&] { return answered(fixture.received += receivedBytes(handle), "/1"); });
        sendBytes(handle, second);
        fixture.listener.drain();
        fixture.runUntilClosed();
        CHECK(answered(receivedBytes(handle), "/2"));
    }
    SECTION("behind another one on the same connection")
    {
        fixture.onRequest = [&fixture] { fixture.listener.drain(); };
        handle = openAndSend(fixture.listener.port(), first + second);
        fixture.runUntil([&fixture] { return fixture.requests > 0; });
        fixture.runUntilClosed();
        const auto answers = receivedBytes(handle);
        CHECK(answered(answers, "/1"));
        CHECK(answered(answers, "/2"));
    }
    SECTION("while another one on the same connection is answered")
    {
        std::function<void()> drainEachTurn = [&] {
            fixture.listener.drain();
            fixture.loop.after(Common::millis(0), drainEachTurn);
        };
        fixture.onRequest = [&] {
            if (fixture.requests > 1)
                return;
            sendBytes(handle, second);
            drainEachTurn();
        };
        handle = openAndSend(fixture.listener.port(), first);
        fixture.runUntil([&fixture] { return fixture.requests > 0; });
        fixture.runUntilClosed();
        CHECK(answered(receivedBytes(handle), "/2"));
    }
    SECTION("in two parts")
    {
        handle = openAndSend(fixture.listener.port(), first.substr(0, 10));
        fixture.runFor(Common::millis(50));
        fixture.listener.drain();
        sendBytes(handle, first.substr(10));
        fixture.runUntilClosed();
        CHECK(answered(receivedBytes(handle), "/1"));
    }
    ::close(handle);
}

TEST_CASE("A connection that was opened just before the listener drains may still send its request", "[eventloop]")
{
    listener_fixture fixture;
    const int handle = openAndSend(fixture.listener.port(), {});
    SECTION("accepted before") { fixture.runFor(Common::millis(20)); }
    SECTION("not accepted yet") { }
    fixture.listener.drain();
    sendBytes(handle, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runUntilClosed();
    CHECK(receivedBytes(handle).starts_with("HTTP/1.1 200 "));
    ::close(handle);
}

TEST_CASE("A draining listener closes connections that send nothing", "[eventloop]")
{
    listener_fixture fixture;
    int handle = -1;
    SECTION("after their response")
    {
        handle = openAndSend(fixture.listener.port(), "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        fixture.runUntil([&] { return !(fixture.received += receivedBytes(handle)).empty(); });
    }
    SECTION("before their first request")
    {
        handle = openAndSend(fixture.listener.port(), {});
        fixture.runFor(Common::millis(20));
    }
    fixture.runUntilClosed();
    char byte = 0;
    CHECK(::recv(handle, &byte, 1, MSG_DONTWAIT) == 0);
    ::close(handle);
}

TEST_CASE("The event loop goes on after an exception of a callback", "[eventloop]")
{
    EventLoop::event_loop loop;
    std::vector<std::string> failures;
    loop.onFailure([&failures](const std::exception& error) { failures.emplace_back(error.what()); });
    loop.after(Common::millis(1), [] { throw std::runtime_error("first"); });
    loop.after(Common::millis(2), [] { throw std::out_of_range("second"); });
    loop.after(Common::millis(20), [&loop] { loop.stop(); });
    loop.run();
    CHECK(failures == std::vector<std::string> { "first", "second" });
}
