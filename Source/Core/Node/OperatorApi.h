#pragma once

#include "Node/HttpServer.h"
#include "Node/Metrics.h"
#include "Node/PeerClient.h"
#include "Node/PermitOffice.h"
#include "Node/PoolOffice.h"
#include "Node/TaskRunner.h"

#include <functional>
#include <optional>

namespace Node {

/// Routes for operators; docs/API.md describes them.
class operator_api {
public:
    struct parts {
        fleet_hub& context;
        permit_office& permits;
        pool_office& pools;
        peer_client& peers;
        task_runner& executor;
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
