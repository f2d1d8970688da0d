#pragma once

#include "Node/CallExecutor.h"
#include "Node/HttpServer.h"
#include "Node/Metrics.h"
#include "Node/PeerClient.h"
#include "Node/PermitManager.h"
#include "Node/PoolManager.h"

#include <functional>
#include <optional>

namespace Node {

/// Routes for operators; docs/API.md describes them.
class operator_api {
public:
    struct parts {
        node_context& context;
        permit_manager& permits;
        pool_manager& pools;
        peer_client& peers;
        call_executor& executor;
        metrics& outcomeMetrics;
    };

    explicit operator_api(parts chosen)
        : m_parts(chosen)
    {
    }

    void addRoutes(http_server&);

private:
    const Settings::operator_account* operatorOf(const http_call&) const;
    http_answer onChange(const http_call&);
    http_answer onChangeState(const http_call&);
    http_answer onState(const http_call&);
    http_answer onMetrics(const http_call&);
    http_answer onBurn(const http_call&);
    http_answer describeChange(const Common::command_id&);
    std::vector<Common::process_id> unconfirmed(Common::log_offset);

    parts m_parts;
};

}
