#pragma once

#include "Node/HttpServer.h"
#include "Node/RequestService.h"

#include <atomic>

namespace Node {

/// Routes for callers; docs/API.md describes them.
class caller_api {
public:
    caller_api(node_context& context, request_service& requests)
        : m_context(context)
        , m_requests(requests)
    {
    }

    void addRoutes(http_server&);
    /// Makes the readiness check fail, so that the load balancer sends no more calls.
    void clearReadiness() { m_isStopping = true; }

private:
    http_answer onSubmit(const http_call&);
    http_answer onFind(const http_call&);
    http_answer onCancel(const http_call&);
    http_answer onReady();

    node_context& m_context;
    request_service& m_requests;
    std::atomic<bool> m_isStopping { false };
};

}
