#include "Node/Daemon.h"

#include "Common/Logging.h"
#include "Node/CallerApi.h"
#include "Node/ControlLoop.h"
#include "Node/HttpPeerClient.h"
#include "Node/LogLoops.h"
#include "Node/OperatorApi.h"
#include "Node/PeerApi.h"
#include "PlatformLog/HttpLogService.h"
#include "Targets/HttpInstanceList.h"

#include <functional>
#include <thread>

namespace Node {

namespace {

    /// Threads for calls to peers and workers.
    constexpr int callThreads = 64;
    constexpr std::size_t operatorThreads = 16;
    constexpr Common::millis stopPollInterval { 20 };

    std::unique_ptr<PlatformLog::log_service> makeLog(const Settings::daemon_settings& settings)
    {
        return std::make_unique<PlatformLog::http_log_service>(settings.platformLog, settings.callTimeout);
    }

}

struct entry_daemon::parts {
    explicit parts(const Settings::daemon_settings& chosen)
        : settings(chosen)
        , executor(callThreads)
        , peers(chosen.callTimeout)
        , context(chosen)
        , permits(context, peers, executor)
        , pools({ .context = context,
              .permits = permits,
              .executor = executor,
              .waiters = waiters,
              .outcomeMetrics = outcomeMetrics })
        , requests({ .context = context,
              .pools = pools,
              .peers = peers,
              .waiters = waiters,
              .outcomeMetrics = outcomeMetrics })
        , logs(context, makeLog(chosen), makeLog(chosen))
        , control({ .context = context, .permits = permits, .pools = pools, .peers = peers, .executor = executor },
              std::make_unique<Targets::http_instance_list>(chosen.instanceList, chosen.callTimeout))
        , callerRoutes(context, requests)
        , peerRoutes({ .context = context, .permits = permits, .pools = pools, .requests = requests })
        , operatorRoutes({ .context = context,
              .permits = permits,
              .pools = pools,
              .peers = peers,
              .executor = executor,
              .outcomeMetrics = outcomeMetrics })
        , callerServer({ .address = chosen.callers, .threads = chosen.callerThreads })
        , peerServer({ .address = chosen.peers, .threads = chosen.peerThreads })
        , operatorServer({ .address = chosen.operators, .threads = operatorThreads })
    {
        context.addListener(permits);
        context.addListener(pools);
        callerRoutes.addRoutes(callerServer);
        peerRoutes.addRoutes(peerServer);
        operatorRoutes.addRoutes(operatorServer);
    }

    Settings::daemon_settings settings;
    waiter_table waiters;
    metrics outcomeMetrics;
    call_executor executor;
    http_peer_client peers;
    node_context context;
    permit_manager permits;
    pool_manager pools;
    request_service requests;
    log_loops logs;
    control_loop control;
    caller_api callerRoutes;
    peer_api peerRoutes;
    operator_api operatorRoutes;
    http_server callerServer;
    http_server peerServer;
    http_server operatorServer;
};

entry_daemon::entry_daemon(const Settings::daemon_settings& settings)
    : m_parts(std::make_unique<parts>(settings))
{
}

entry_daemon::~entry_daemon() = default;

bool entry_daemon::start()
{
    // The peer listener is bound first: a successful bind proves that no earlier daemon runs at this address.
    if (!m_parts->peerServer.start() || !m_parts->operatorServer.start())
        return false;
    m_parts->logs.start();
    m_parts->control.start();
    return m_parts->callerServer.start();
}

bool entry_daemon::stop()
{
    const auto deadline = Common::boot_clock::now() + m_parts->settings.stopTimeout;
    m_parts->callerRoutes.clearReadiness();
    std::this_thread::sleep_for(m_parts->settings.balancerGrace);
    m_parts->requests.stopAccepting();
    m_parts->control.retire();
    const auto waitFor = [deadline](const std::function<bool()>& condition) {
        while (!condition() && Common::boot_clock::now() < deadline)
            std::this_thread::sleep_for(stopPollInterval);
        return condition();
    };
    // A daemon that has left the membership can't route requests, so open calls are finished first.
    bool isClean = waitFor([this] { return m_parts->requests.openCount() == 0; });
    m_parts->control.allowLeaving();
    isClean = waitFor([this] { return m_parts->control.hasLeft(); }) && isClean;
    isClean = waitFor([this] { return m_parts->requests.forwardedCount() == 0; }) && isClean;
    m_parts->callerServer.stop();
    m_parts->control.stop();
    m_parts->logs.stop();
    m_parts->operatorServer.stop();
    m_parts->peerServer.stop();
    Common::writeLog(isClean ? Common::log_level::Info : Common::log_level::Warning, Common::log_category::Daemon,
        isClean ? "left with nothing running" : "stopped with work still running");
    return isClean;
}

}
