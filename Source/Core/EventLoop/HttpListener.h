#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "EventLoop/HttpMessages.h"

#include <memory>

namespace EventLoop {

class event_loop;

/// Bounds on what callers may send.
struct listener_limits {
    std::uint32_t headerBytes { 16384 };
    std::uint64_t bodyBytes { 262144 };
    /// A whole request must have come this long after its first byte, or after the connection opened.
    Common::millis requestTimeout { 3000 };
    Common::millis idleTimeout { 15000 };
    std::size_t connections { 3000 };
};

/// Takes a request and a way to answer it, now or later.
using request_handler = std::function<void(const http_request&, responder)>;

/// HTTP/1.1 listener. A connection that sends nothing costs a descriptor and no thread.
class http_listener {
public:
    http_listener(event_loop&, const Common::endpoint&, const listener_limits&, request_handler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Binds and begins to accept. False when the address can't be bound.
    bool start();
    /// Port that is bound.
    std::uint16_t port() const;
    /// Stops accepting; connections close after their next answer, idle ones at once.
    void drain();
    /// Requests that were read whole and aren't answered yet.
    std::size_t openRequests() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

}
