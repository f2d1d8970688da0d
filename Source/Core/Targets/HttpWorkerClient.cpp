#include "Targets/HttpWorkerClient.h"

#include "Requests/RequestJson.h"

#include <httplib.h>

namespace Targets {

namespace {

    using Common::json;

    constexpr int httpOk = 200;

}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_start, task, life, needs, payload, notAfter, leaseUntil)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(running_task, task, needs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finished_task, task, succeeded, length, digest, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(poll_reply, life, clock, leaving, running, finished)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_reply, life, clock, accepted)

http_worker_client::http_worker_client(const Common::endpoint& address, Common::millis timeout)
    : m_client(std::make_unique<httplib::Client>(address.host, address.port))
    , m_timeout(timeout)
{
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(timeout);
    m_client->set_write_timeout(timeout);
    m_client->set_read_timeout(timeout);
}

http_worker_client::~http_worker_client() = default;

std::optional<std::string> http_worker_client::call(const char* path, const std::string& body)
{
    const auto response = m_client->Post(path, body, "application/json");
    if (!response) {
        const bool unsent = response.error() == httplib::Error::Connection;
        m_lastReason = unsent ? worker_failure::NotReached : worker_failure::NoAnswer;
        return std::nullopt;
    }
    if (response->status != httpOk) {
        m_lastReason = worker_failure::NoAnswer;
        return std::nullopt;
    }
    m_lastReason = worker_failure::None;
    return response->body;
}

std::optional<start_reply> http_worker_client::start(const std::vector<task_start>& tasks)
{
    m_client->set_read_timeout(m_timeout);
    const auto body = call("/tasks/start", Common::writeJson(json { { "tasks", tasks } }));
    if (!body)
        return std::nullopt;
    auto reply = Common::readJson<start_reply>(*body);
    if (!reply)
        m_lastReason = worker_failure::NoAnswer;
    return reply;
}

std::optional<poll_reply> http_worker_client::poll(const poll_request& request)
{
    m_client->set_read_timeout(m_timeout + request.wait);
    const json body { { "life", request.life }, { "owner", request.owner }, { "adopted", request.adopted },
        { "renewed", request.renewed }, { "leaseUntil", request.leaseUntil },
        { "acknowledged", request.acknowledged }, { "waitMs", request.wait.count() } };
    const auto answer = call("/tasks/poll", Common::writeJson(body));
    if (!answer)
        return std::nullopt;
    auto reply = Common::readJson<poll_reply>(*answer);
    if (!reply)
        m_lastReason = worker_failure::NoAnswer;
    return reply;
}

bool http_worker_client::stop(const std::vector<Common::task_id>& tasks)
{
    m_client->set_read_timeout(m_timeout);
    return call("/tasks/stop", Common::writeJson(json { { "tasks", tasks } })).has_value();
}

}
