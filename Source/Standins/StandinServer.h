#pragma once

#include "Common/Endpoint.h"
#include "Standins/FaultSwitch.h"

#include <httplib.h>
#include <thread>

namespace Standins {

/// HTTP listener of a stand-in. `POST /fault {"name":N,"value":V}` sets a fault; the fault `down`
/// makes all other calls fail with 503, `silent` leaves them without an answer for that many
/// milliseconds.
class standin_server {
public:
    standin_server(const Common::endpoint&, std::size_t threads);
    ~standin_server();
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    httplib::Server& routes() { return m_server; }
    fault_switch& faults() { return m_faults; }
    /// Binds and serves in a thread of its own. Port 0 takes any free one.
    bool start();
    void stop();
    std::uint16_t port() const { return m_address.port; }

private:
    httplib::Server::HandlerResponse beforeCall(const httplib::Request&, httplib::Response&);

    Common::endpoint m_address;
    httplib::Server m_server;
    fault_switch m_faults;
    std::thread m_thread;
};

}
