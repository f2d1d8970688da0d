#pragma once

#include "Node/InputMeter.h"

#include <atomic>
#include <httplib.h>

namespace Node {

struct bounded_server_options {
    std::size_t threads { 8 };
    /// Connections that wait for a thread; more are closed.
    std::size_t waitingConnections { 32 };
    input_limits input;
};

/// The library's server with a longer listen backlog, and with limits on connections and on what a request may hold
/// while it is received. A request over a limit is answered 400, 413 or not at all, and its connection is closed; none of
/// its handler's work has been done.
class bounded_server final : public httplib::Server {
public:
    explicit bounded_server(const bounded_server_options&);

    bool setBacklog();
    /// Closes the connection of the request that this thread handles once it is answered.
    static void closeAfterAnswer();

private:
    bool process_and_close_socket(socket_t) override; // NOLINT(readability-identifier-naming)
    void serve(socket_t);
    void reportClosed(const char* reason, std::size_t bytes);

    bounded_server_options m_options;
    std::atomic<std::size_t> m_receivingBytes { 0 };
    std::atomic<std::size_t> m_closed { 0 };
    std::atomic<std::int64_t> m_reportedAt { 0 };
};

}
