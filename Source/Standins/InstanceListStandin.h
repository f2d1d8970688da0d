#pragma once

#include "Common/JsonFields.h"
#include "Standins/StandinServer.h"

#include <deque>
#include <mutex>

namespace Standins {

/// The platform's list of instances. `PUT /instances` replaces it. The fault `lag` (ms) delays the moment at which
/// readers see the new list.
class instance_list_standin {
public:
    explicit instance_list_standin(const Common::endpoint&);

    bool start() { return m_server.start(); }
    std::uint16_t port() const { return m_server.port(); }
    fault_switch& faults() { return m_server.faults(); }
    void setInstances(Common::json list);

private:
    struct version {
        Common::instant visibleFrom;
        Common::json list;
    };

    standin_server m_server;
    std::mutex m_lock;
    std::deque<version> m_versions;
};

}
