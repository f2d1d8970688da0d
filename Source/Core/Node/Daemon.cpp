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
    constexpr Common::millis stopPoll { 20 };

    std::unique_ptr<PlatformLog::log_service> makeLog(const Settings::daemon_settings& settings)
    {
        return std::make_unique<PlatformLog::http_log_service>(settings.platformLog, settings.callTimeout);
    }

}

struct entry_daemon::parts {
    explicit parts(const Settings::daemon_settings& chosen)
        : settings(chosen)
        , runner(callThreads)
        , peers(chosen.callTimeout)
        , hub(chosen)
        , permits(hub, peers, runner)
        , pools({ .hub = hub, .permits = permits, .runner = runner, .waiters = waiters, .figures = figures })
        , requests({ .hub = hub, .pools = pools, .peers = peers, .waiters = waiters, .figures = figures })
        , logs(hub, makeLog(chosen), makeLog(chosen))
        , control({ .hub = hub, .permits = permits, .pools = pools, .peers = peers, .runner = runner },
              std::make_unique<Targets::http_instance_list>(chosen.instanceList, chosen.callTimeout))
        , callerRoutes(hub, requests)
        , peerRoutes({ .hub = hub, .permits = permits, .pools = pools, .requests = requests })
        , operatorRoutes({ .hub = hub,
              .permits = permits,
              .pools = pools,
              .peers = peers,
              .runner = runner,
              .figures = figures })
        , callerServer({ .address = chosen.callers, .threads = chosen.callerThreads })
        , peerServer({ .address = chosen.peers, .threads = chosen.peerThreads })
        , operatorServer({ .address = chosen.operators, .threads = operatorThreads })
    {
        hub.addListener(permits);
        hub.addListener(pools);
        callerRoutes.addRoutes(callerServer);
        peerRoutes.addRoutes(peerServer);
        operatorRoutes.addRoutes(operatorServer);
    }

    Settings::daemon_settings settings;
    waiter_table waiters;
    metrics figures;
    task_runner runner;
    http_peer_client peers;
    fleet_hub hub;
    permit_office permits;
    pool_office pools;
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
    // The peer listener is bound first: that it is bound proves that an earlier daemon there is gone.
    if (!m_parts->peerServer.start() || !m_parts->operatorServer.start())
        return false;
    m_parts->logs.start();
    m_parts->control.start();
    return m_parts->callerServer.start();
}

bool entry_daemon::stop()
{
    const auto deadline = Common::boot_clock::now() + m_parts->settings.stopTimeout;
    m_parts->callerRoutes.dropReadiness();
    std::this_thread::sleep_for(m_parts->settings.balancerGrace);
    m_parts->requests.stopTaking();
    m_parts->control.retire();
    const auto waitFor = [deadline](const std::function<bool()>& condition) {
        while (!condition() && Common::boot_clock::now() < deadline)
            std::this_thread::sleep_for(stopPoll);
        return condition();
    };
    // A daemon that has left can't route requests any more, so callers come first.
    bool isClean = waitFor([this] { return m_parts->requests.open() == 0; });
    m_parts->control.allowLeaving();
    isClean = waitFor([this] { return m_parts->control.hasLeft(); }) && isClean;
    isClean = waitFor([this] { return m_parts->requests.forwarded() == 0; }) && isClean;
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
