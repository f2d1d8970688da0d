#pragma once

#include "Fleet/Reducer.h"
#include "Fleet/Replica.h"
#include "PlatformLog/GroupCommit.h"
#include "PlatformLog/LogService.h"
#include "Roster/LeaseKeeper.h"
#include "Roster/PromiseBook.h"
#include "Settings/Settings.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace Node {

/// Told, with the hub's lock held, that the fleet state grew.
class state_listener {
public:
    virtual ~state_listener() = default;
    virtual void onState(Common::instant now) = 0;
    /// This daemon was removed from the members and begins a new life.
    virtual void onNewLife(Common::instant now) = 0;
};

/// Shared heart of one daemon: its copy of the fleet state, its lease, and its commands on their way
/// to the log. All members but those marked otherwise are called with the lock held.
class fleet_hub {
public:
    explicit fleet_hub(const Settings::daemon_settings&);

    /// Takes the lock.
    std::unique_lock<std::mutex> hold() { return std::unique_lock(m_lock); }

    const Settings::daemon_settings& settings() const { return m_settings; }
    const Fleet::fleet_state& state() const { return m_replica.state(); }
    const Fleet::replica& replica() const { return m_replica; }
    const Common::process_id& self() const { return m_self; }
    Common::instant lifeBegan() const { return m_lifeBegan; }
    Roster::lease_keeper& keeper() { return m_keeper; }
    Roster::promise_book& promises() { return m_promises; }
    PlatformLog::group_commit& commit() { return m_commit; }
    void addListener(state_listener& listener) { m_listeners.push_back(&listener); }
    std::vector<Requests::work_identity> takeTouchedWorks() { return m_replica.takeTouchedWorks(); }
    std::vector<Common::process_id> takeLeftMembers() { return m_replica.takeLeftMembers(); }

    /// Whether this daemon may start work and answer for shards right now.
    bool mayAct(Common::instant now) const;
    /// Last instant at which it may, if nothing more is heard.
    Common::instant actsUntil() const;
    /// Epoch of a shard that this daemon holds. Empty when it doesn't.
    std::optional<Common::shard_epoch> heldEpoch(const Common::shard_id&) const;

    /// Queues a command for the log. False when too many wait.
    bool submit(Fleet::command);
    /// Queues a command of the daemon itself with a fresh id, and returns the id.
    Common::command_id submitOwn(Fleet::command_body);

    /// Waits for the result of a command; the lock is given up meanwhile.
    std::optional<Fleet::command_result> waitForResult(
        std::unique_lock<std::mutex>&, const Common::command_id&, Common::instant deadline);

    /// For the log loops.
    void onPage(const PlatformLog::log_page&, Common::instant began);
    /// Waits until a command should be appended, or the timeout is over.
    void waitForCommands(std::unique_lock<std::mutex>&, Common::millis timeout);
    void notifyAll();

private:
    void beginNewLife(Common::instant now);

    Settings::daemon_settings m_settings;
    std::mutex m_lock;
    std::condition_variable m_applied;
    std::condition_variable m_commands;
    Common::process_id m_self;
    Common::instant m_lifeBegan;
    bool m_wasMember { false };
    Fleet::replica m_replica;
    Roster::lease_keeper m_keeper;
    Roster::promise_book m_promises;
    PlatformLog::group_commit m_commit;
    std::vector<state_listener*> m_listeners;
};

}
