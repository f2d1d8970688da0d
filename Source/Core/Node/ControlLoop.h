#pragma once

#include "Node/CallExecutor.h"
#include "Node/NodeContext.h"
#include "Node/PeerClient.h"
#include "Node/PermitManager.h"
#include "Node/PoolManager.h"
#include "Targets/InstanceList.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace Node {

/// Periodic work of a daemon: joins the fleet, renews its lease, detects failed members, and claims and
/// releases shards.
class control_loop {
public:
    struct parts {
        node_context& context;
        permit_manager& permits;
        pool_manager& pools;
        peer_client& peers;
        call_executor& executor;
    };

    control_loop(parts, std::unique_ptr<Targets::instance_list>);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    void start();
    void stop();
    /// Releases the held shards and claims no more.
    void retire() { m_isRetiring = true; }
    /// Lets this daemon leave the membership once it holds nothing.
    void allowLeaving() { m_mayLeave = true; }
    /// Whether this daemon holds nothing and has left the membership.
    bool hasLeft() const { return m_hasLeft; }

private:
    struct vote_result {
        std::vector<Common::process_id> granted;
        std::vector<Common::process_id> gone;
    };

    void runAll();
    void watchInstances();
    void tick(Common::instant now);
    void renew(Common::instant now);
    void join(Common::instant now);
    void leaveIfDone(Common::instant now);
    void claimAndRelease(Common::instant now);
    void release(const Common::shard_id&);
    void requestPromises(Common::instant now);
    void expireMembers(Common::instant now);
    void probeNeighbour(Common::instant now);
    void expire(const Fleet::member&, Common::instant now);
    vote_result collectVotes(const Membership::vote_request&, Common::instant now);
    bool isGone(const Fleet::member&, Common::instant now);
    bool isDue(Common::instant& last, Common::millis interval, Common::instant now) const;

    parts m_parts;
    std::unique_ptr<Targets::instance_list> m_instances;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_isRetiring { false };
    std::atomic<bool> m_mayLeave { false };
    std::atomic<bool> m_hasLeft { false };
    bool m_retireSubmitted { false };
    bool m_leaveSubmitted { false };
    Common::instant m_lastPromiseRequest;
    Common::instant m_lastProbe;
    Common::instant m_lastDecay;
    Common::instant m_lastJoin;
    Common::instant m_lastExpire;
    Common::instant m_lastClaim;
    /// When the address of each unreachable member first refused a connection or was answered by another
    /// incarnation.
    std::map<Common::process_id, Common::instant> m_refusedSince;
    std::thread m_thread;
    std::thread m_instanceThread;
};

}
