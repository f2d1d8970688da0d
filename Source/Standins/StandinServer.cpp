#include "Standins/StandinServer.h"

#include "Common/JsonFields.h"

namespace Standins {

namespace {

    constexpr int httpUnavailable = 503;
    constexpr std::time_t idleSeconds = 10;
    constexpr std::size_t maxCallsPerConnection = 1'000'000;
    constexpr Common::millis silentPollInterval { 10 };
    constexpr const char* faultPath = "/fault";

    struct fault_setting {
        std::string name;
        std::int64_t value { 0 };
    };

    void from_json(const Common::json& in, fault_setting& setting)
    {
        in.at("name").get_to(setting.name);
        in.at("value").get_to(setting.value);
    }

}

standin_server::standin_server(const Common::endpoint& address, std::size_t threads)
    : m_address(address)
{
    m_server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(maxCallsPerConnection);
    m_server.set_keep_alive_timeout(idleSeconds);
    m_server.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) { return applyFaults(request, response); });
    m_server.Post(faultPath, [this](const httplib::Request& request, httplib::Response&) {
        if (const auto setting = Common::readJson<fault_setting>(request.body))
            m_faults.set(setting->name, setting->value);
    });
}

standin_server::~standin_server()
{
    stop();
}

httplib::Server::HandlerResponse standin_server::applyFaults(const httplib::Request& request, httplib::Response& response)
{
    if (request.path == faultPath)
        return httplib::Server::HandlerResponse::Unhandled;
    const auto silentUntil = Common::boot_clock::now() + Common::millis(m_faults.value("silent"));
    while (m_faults.isOn("silent") && Common::boot_clock::now() < silentUntil && m_server.is_running())
        std::this_thread::sleep_for(silentPollInterval);
    if (!m_faults.isOn("down"))
        return httplib::Server::HandlerResponse::Unhandled;
    response.status = httpUnavailable;
    return httplib::Server::HandlerResponse::Handled;
}

bool standin_server::start()
{
    if (m_address.port == 0)
        m_address.port = static_cast<std::uint16_t>(m_server.bind_to_any_port(m_address.host.c_str()));
    else if (!m_server.bind_to_port(m_address.host.c_str(), m_address.port))
        return false;
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
        std::this_thread::yield();
    return true;
}

void standin_server::stop()
{
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

}
