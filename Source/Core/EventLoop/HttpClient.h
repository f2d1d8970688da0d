#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "EventLoop/HttpMessages.h"

#include <memory>
#include <optional>

namespace EventLoop {

class event_loop;

/// Why a call has no answer.
enum class call_failure {
    None,
    /// No connection came about: nothing was sent.
    NotSent,
    /// Sent at least in part; the other side may have acted, or may act later.
    NoAnswer
};

struct call_result {
    std::optional<http_response> response;
    call_failure failure { call_failure::None };
};

using call_handler = std::function<void(call_result)>;

struct http_client_options {
    Common::endpoint server;
    /// Connections that are open at once; further calls wait their turn.
    int maxConnections { 4 };
    Common::millis connectTimeout { 500 };
    /// Idle connections are closed after this time, so that none is used that a firewall forgot.
    Common::millis idleTimeout { 10000 };
};

/// Calls to one server over kept connections. A connection on which a call timed out is closed.
class http_client {
public:
    http_client(event_loop&, const http_client_options&);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. The handler is called once, from the loop, at the latest after `timeout`.
    void call(http_request, Common::millis timeout, call_handler);
    /// Connections opened so far.
    std::uint64_t connectionsOpened() const;

private:
    struct pool;
    std::shared_ptr<pool> m_pool;
};

}
