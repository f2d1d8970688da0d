#pragma once

#include "Common/Endpoint.h"
#include "Standins/FaultSwitch.h"

#include <httplib.h>
#include <thread>

namespace Standins {

/// HTTP server of a stand-in. `POST /fault {"name":N,"value":V}` sets a fault. With `down` all other calls fail
/// with 503. With `silent` they are answered after that many milliseconds, or once the fault is off.
class standin_server {
public:
    standin_server(const Common::endpoint&, std::size_t threads);
    ~standin_server();
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    httplib::Server& routes() { return m_server; }
    fault_switch& faults() { return m_faults; }
    /// Binds the address and serves it in a separate thread. Port 0 means any free port. False if the bind failed.
    bool start();
    void stop();
    std::uint16_t port() const { return m_address.port; }

private:
    httplib::Server::HandlerResponse applyFaults(const httplib::Request&, httplib::Response&);

    Common::endpoint m_address;
    httplib::Server m_server;
    fault_switch m_faults;
    std::thread m_thread;
};

}
