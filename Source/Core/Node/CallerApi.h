#pragma once

#include "Node/HttpServer.h"
#include "Node/RequestService.h"

#include <atomic>

namespace Node {

/// Routes for callers; docs/API.md describes them.
class caller_api {
public:
    caller_api(fleet_hub& hub, request_service& requests)
        : m_hub(hub)
        , m_requests(requests)
    {
    }

    void addRoutes(http_server&);
    /// The balancer is told to send nothing more.
    void dropReadiness() { m_isStopping = true; }

private:
    http_answer onSubmit(const http_call&);
    http_answer onFind(const http_call&);
    http_answer onCancel(const http_call&);
    http_answer onReady();

    fleet_hub& m_hub;
    request_service& m_requests;
    std::atomic<bool> m_isStopping { false };
};

}
