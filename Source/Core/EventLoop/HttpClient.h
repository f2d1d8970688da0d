#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "EventLoop/HttpMessages.h"

#include <memory>
#include <optional>

namespace EventLoop {

class event_loop;
class traffic_meter;

/// Why a call got no response.
enum class call_failure {
    None,
    /// There was no connection, so nothing was sent.
    NotSent,
    /// Sent at least in part; the server may have acted, or may act later.
    NoAnswer
};

struct call_result {
    std::optional<http_response> response;
    call_failure failure { call_failure::None };
};

using call_handler = std::function<void(call_result)>;

struct http_client_options {
    Common::endpoint server;
    /// Maximum number of open connections; further calls are queued.
    int maxConnections { 4 };
    Common::millis connectTimeout { 500 };
    /// Idle connections are closed after this time, so that no call uses one that a firewall has dropped.
    Common::millis idleTimeout { 10000 };
    /// Bytes that a connection reads in one turn of the event loop.
    std::size_t readBufferBytes { 4096 };
    /// Counts the messages. Null when they aren't counted.
    traffic_meter* meter { nullptr };
};

/// HTTP/1.1 client of one server with persistent connections. A call that times out closes its connection.
class http_client {
public:
    http_client(event_loop&, const http_client_options&);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. The handler is called once, on the event loop, `timeout` after this call at the latest; a call that
    /// is still queued then fails as not sent. The headers of the response aren't kept.
    void call(http_request, Common::millis timeout, call_handler);
    /// Number of connections opened so far.
    std::uint64_t connectionsOpened() const;

private:
    struct connection_pool;
    std::shared_ptr<connection_pool> m_pool;
};

}
