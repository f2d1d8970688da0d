#pragma once

#include "Common/Endpoint.h"
#include "Targets/WorkerClient.h"

#include <memory>

namespace httplib {
class Client;
}

namespace Targets {

/// Client of a worker over HTTP with JSON: `POST /tasks/start`, `/tasks/poll` and `/tasks/stop`.
/// A call that got no answer closes the connection; the next call opens a new one.
class http_worker_client final : public worker_client {
public:
    http_worker_client(const Common::endpoint&, Common::millis timeout);
    ~http_worker_client() override;

    std::optional<start_reply> start(const std::vector<task_start>&) override;
    std::optional<poll_reply> poll(const poll_request&) override;
    bool stop(const std::vector<Common::task_id>&) override;
    worker_failure lastReason() const override { return m_lastReason; }

private:
    std::optional<std::string> call(const char* path, const std::string& body);

    std::unique_ptr<httplib::Client> m_client;
    Common::millis m_timeout;
    worker_failure m_lastReason { worker_failure::None };
};

}
