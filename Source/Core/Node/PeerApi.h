#pragma once

#include "Node/HttpServer.h"
#include "Node/PermitManager.h"
#include "Node/RequestService.h"

namespace Node {

/// Routes for calls of other daemons.
class peer_api {
public:
    struct parts {
        node_context& context;
        permit_manager& permits;
        pool_manager& pools;
        request_service& requests;
    };

    explicit peer_api(parts chosen)
        : m_parts(chosen)
    {
    }

    void addRoutes(http_server&);

private:
    http_answer onPromise(const http_call&);
    http_answer onVote(const http_call&);
    http_answer onPermits(const http_call&);
    http_answer onForward(const http_call&);
    http_answer onAwait(const http_call&);
    http_answer onSettle(const http_call&);
    http_answer onCancel(const http_call&);
    http_answer onView();

    parts m_parts;
};

}
