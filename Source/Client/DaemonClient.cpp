#include "Client/DaemonClient.h"

#include <httplib.h>

namespace Client {

namespace {

    constexpr const char* keyHeader = "X-Loft-Key";
    constexpr Common::millis connectTimeout { 2000 };
    constexpr Common::millis readTimeout { 10'000 };

    httplib::Client connect(const Common::endpoint& address, Common::millis timeout)
    {
        httplib::Client client(address.host, address.port);
        client.set_connection_timeout(connectTimeout);
        client.set_read_timeout(timeout);
        return client;
    }

    std::optional<call_answer> toAnswer(const httplib::Result& result, call_failure& failure)
    {
        if (!result) {
            const bool unsent = result.error() == httplib::Error::Connection;
            failure = unsent ? call_failure::NotReached : call_failure::NoAnswer;
            return std::nullopt;
        }
        failure = call_failure::None;
        return call_answer { .status = result->status, .body = result->body };
    }

}

std::optional<call_answer> daemon_client::get(const std::string& path)
{
    auto client = connect(m_address, readTimeout);
    const httplib::Headers headers { { keyHeader, m_key } };
    return toAnswer(client.Get(path.c_str(), headers), m_lastReason);
}

std::optional<call_answer> daemon_client::post(const std::string& path, const std::string& body, Common::millis timeout)
{
    auto client = connect(m_address, timeout);
    const httplib::Headers headers { { keyHeader, m_key } };
    return toAnswer(client.Post(path.c_str(), headers, body, "application/json"), m_lastReason);
}

}
