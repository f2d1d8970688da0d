#pragma once

#include "Node/FleetHub.h"
#include "Node/PeerClient.h"
#include "Node/PermitOffice.h"
#include "Node/PoolOffice.h"
#include "Node/TaskRunner.h"
#include "Targets/InstanceList.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace Node {

/// Regular work of a daemon: joining, renewing, finding lost members, claiming and releasing shards.
class control_loop {
public:
    struct parts {
        fleet_hub& hub;
        permit_office& permits;
        pool_office& pools;
        peer_client& peers;
        task_runner& runner;
    };

    control_loop(parts, std::unique_ptr<Targets::instance_list>);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    void start();
    void stop();
    /// From now on shards are given up and none is claimed.
    void retire() { m_isRetiring = true; }
    /// From now on this daemon may leave the members, once it holds nothing.
    void allowLeaving() { m_mayLeave = true; }
    /// Whether this daemon holds nothing any more.
    bool hasLeft() const { return m_hasLeft; }

private:
    struct vote_result {
        std::vector<Common::process_id> given;
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
    void askPromises(Common::instant now);
    void expireLapsed(Common::instant now);
    void probeNeighbour(Common::instant now);
    void expire(const Fleet::member&, Common::instant now);
    vote_result collectBacking(const Roster::backing_request&, Common::instant now);
    bool isGone(const Fleet::member&, Common::instant now);
    bool isDue(Common::instant& last, Common::millis every, Common::instant now) const;

    parts m_parts;
    std::unique_ptr<Targets::instance_list> m_instances;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_isRetiring { false };
    std::atomic<bool> m_mayLeave { false };
    std::atomic<bool> m_hasLeft { false };
    bool m_retireAsked { false };
    bool m_leaveAsked { false };
    Common::instant m_lastPromises;
    Common::instant m_lastProbe;
    Common::instant m_lastCool;
    Common::instant m_lastJoin;
    Common::instant m_lastExpire;
    Common::instant m_lastClaim;
    /// Since when a member's address has refused connections.
    std::map<Common::process_id, Common::instant> m_refusedSince;
    std::thread m_thread;
    std::thread m_instanceThread;
};

}
