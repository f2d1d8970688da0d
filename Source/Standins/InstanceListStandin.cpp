#include "Standins/InstanceListStandin.h"

namespace Standins {

namespace {

    constexpr std::size_t threads = 32;
    constexpr const char* path = "/instances";

}

instance_list_standin::instance_list_standin(const Common::endpoint& address)
    : m_server(address, threads)
{
    m_versions.push_back({ .visibleFrom = {}, .list = Common::json::array() });
    m_server.routes().Put(path, [this](const httplib::Request& request, httplib::Response&) {
        if (auto list = Common::parseJson(request.body))
            setInstances(std::move(*list));
    });
    m_server.routes().Get(path, [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(m_lock);
        const auto now = Common::boot_clock::now();
        while (m_versions.size() > 1 && m_versions[1].visibleFrom <= now)
            m_versions.pop_front();
        response.set_content(m_versions.front().list.dump(), "application/json");
    });
}

void instance_list_standin::setInstances(Common::json list)
{
    const std::lock_guard lock(m_lock);
    const auto lag = Common::millis(m_server.faults().value("lag"));
    m_versions.push_back({ .visibleFrom = Common::boot_clock::now() + lag, .list = std::move(list) });
}

}
