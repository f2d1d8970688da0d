#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "EventLoop/HttpMessages.h"
#include "EventLoop/RequestBudget.h"

#include <memory>

namespace EventLoop {

class event_loop;
class traffic_meter;

/// Limits on requests and connections.
struct listener_limits {
    std::uint32_t headerBytes { 16384 };
    std::uint64_t bodyBytes { 262144 };
    /// Time from the first byte of a request to its end.
    Common::millis requestTimeout { 3000 };
    /// Longest wait for the first byte of a request, and for a response to be written.
    Common::millis idleTimeout { 15000 };
    request_budget_limits budget;

    /// Bytes of a request as it is sent, with the framing of a body in chunks of a single byte.
    std::uint64_t messageBytes() const { return headerBytes + framedBytesPerByte * bodyBytes; }

    static constexpr std::uint64_t framedBytesPerByte = 8;
};

/// What a listener holds, and the connections that it has ended or not admitted since its start.
struct listener_use {
    std::size_t heldBytes { 0 };
    std::uint64_t closedForBytes { 0 };
    std::uint64_t closedForConnections { 0 };
    std::uint64_t notAdmitted { 0 };
    /// Requests that were malformed or over a limit of a single request.
    std::uint64_t rejected { 0 };
};

/// Handles a request; the responder may be called at once or later.
using request_handler = std::function<void(const http_request&, responder)>;

/// HTTP/1.1 listener on the event loop. An idle connection uses a file descriptor, but no thread.
class http_listener {
public:
    /// `meter` counts the messages as calls of `kind`; null when they aren't counted.
    http_listener(event_loop&, const Common::endpoint&, const listener_limits&, request_handler,
        traffic_meter* meter = nullptr, const std::string& kind = {});
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Binds the address and starts to accept. False when the address can't be bound.
    bool start();
    /// The bound port, also when the address had port 0.
    std::uint16_t port() const;
    /// Accepts the connections that are established, and no more. Each connection is closed once all requests that have
    /// arrived on it are answered. New connections may still send a request for a short time, so call this again until
    /// there are no connections.
    void drain();
    /// Drains, and answers all open requests, and those that are read from now on, with this response. Later answers of
    /// the handler to them have no effect.
    void answerOpen(const http_response&);
    /// Number of requests that were read completely and have no response yet.
    std::size_t openRequests() const;
    std::size_t openConnections() const;
    listener_use use() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

}
