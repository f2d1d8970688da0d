#pragma once

#include "Fleet/Reducer.h"
#include "Fleet/Replica.h"
#include "Membership/LeaseTracker.h"
#include "Membership/MembershipVoter.h"
#include "PlatformLog/GroupCommit.h"
#include "PlatformLog/LogService.h"
#include "Settings/Settings.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace Node {

/// Notified of changes to the fleet state. Called with the lock of the node context held.
class state_listener {
public:
    virtual ~state_listener() = default;
    virtual void onState(Common::instant now) = 0;
    /// This daemon was removed from the membership and starts a new incarnation.
    virtual void onNewIncarnation(Common::instant now) = 0;
};

/// State shared by the components of one daemon: its replica of the fleet state, the leases, and the commands
/// waiting to be appended to the log. Called with the lock held, unless said otherwise.
class node_context {
public:
    explicit node_context(const Settings::daemon_settings&);

    /// Acquires the lock.
    std::unique_lock<std::mutex> lock() { return std::unique_lock(m_lock); }

    const Settings::daemon_settings& settings() const { return m_settings; }
    const Fleet::fleet_state& state() const { return m_replica.state(); }
    const Fleet::replica& replica() const { return m_replica; }
    const Common::process_id& self() const { return m_self; }
    Common::instant incarnationBegan() const { return m_incarnationBegan; }
    Membership::lease_tracker& leases() { return m_leases; }
    Membership::membership_voter& voter() { return m_voter; }
    PlatformLog::group_commit& commit() { return m_commit; }
    void addListener(state_listener& listener) { m_listeners.push_back(&listener); }
    std::vector<Requests::work_identity> takeTouchedWorks() { return m_replica.takeTouchedWorks(); }
    std::vector<Common::process_id> takeLeftMembers() { return m_replica.takeLeftMembers(); }

    /// Whether this daemon may start work and act as the holder of its shards.
    bool mayAct(Common::instant now) const;
    /// Until when it may if its lease isn't renewed.
    Common::instant mayActUntil() const;
    /// Epoch of a shard that this daemon holds. Empty when it doesn't hold the shard.
    std::optional<Common::shard_epoch> heldEpoch(const Common::shard_id&) const;

    /// Queues a command for the log. False when the queue is full.
    bool submit(Fleet::command);
    /// Queues a command of the daemon itself under a new id, which is returned.
    Common::command_id submitOwn(Fleet::command_body);

    /// Waits for the result of a command; the lock is released meanwhile. Empty when the deadline passes first.
    std::optional<Fleet::command_result> waitForResult(
        std::unique_lock<std::mutex>&, const Common::command_id&, Common::instant deadline);

    /// Applies a page of the log whose read began at `began`.
    void onPage(const PlatformLog::log_page&, Common::instant began);
    /// Waits until a command should be appended, or for the timeout.
    void waitForCommands(std::unique_lock<std::mutex>&, Common::millis timeout);
    void notifyAll();

private:
    void beginNewIncarnation(Common::instant now);

    Settings::daemon_settings m_settings;
    std::mutex m_lock;
    std::condition_variable m_stateApplied;
    std::condition_variable m_commandAdded;
    Common::process_id m_self;
    Common::instant m_incarnationBegan;
    bool m_wasMember { false };
    Fleet::replica m_replica;
    Membership::lease_tracker m_leases;
    Membership::membership_voter m_voter;
    PlatformLog::group_commit m_commit;
    std::vector<state_listener*> m_listeners;
};

}
