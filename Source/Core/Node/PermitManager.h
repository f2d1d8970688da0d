#pragma once

#include "Limits/PermitCache.h"
#include "Limits/TeamLedger.h"
#include "Node/CallExecutor.h"
#include "Node/NodeContext.h"
#include "Node/PeerClient.h"
#include "Pool/PoolScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Node {

/// Owns this daemon's permit cache and the ledger shards that it holds, and exchanges reports and grants with
/// the other holders. Called with the lock of the node context held.
class permit_manager final : public state_listener {
public:
    permit_manager(node_context&, peer_client&, call_executor&);

    /// Sets the callback for when permits may have been raised; it is called with the lock held.
    void onRaised(std::function<void()> callback) { m_onRaised = std::move(callback); }

    /// Creates the source of permits for one pool's scheduler.
    std::unique_ptr<Pool::permit_source> makeSource();

    /// Sends reports to all ledger holders that need one.
    void exchange(Common::instant now);
    /// Returns the grants for the reports of a daemon.
    permit_exchange_reply onReports(const permit_exchange&, Common::instant now);
    /// Closes a ledger before its shard is released; reports under its epoch aren't answered any more.
    void closeLedger(const Common::shard_id&, Common::shard_epoch);
    /// Releases idle permits; to be called about twice a second.
    void decayPermits() { m_cache->decayPeaks(); }

    Common::slot_count running(const Common::team_id& team) const { return m_cache->running(team); }
    Common::slot_count allowance(const Common::team_id& team) const { return m_cache->allowance(team); }
    Common::slot_count runningTotal() const { return m_cache->runningTotal(); }

    void onState(Common::instant now) override;
    void onNewIncarnation(Common::instant now) override;

private:
    class scheduler_source;

    void handleRemovedMembers(Common::instant now);
    void openAndCloseLedgers();
    void exchangeWith(const Common::process_id&, permit_exchange);
    void sendTo(const Common::endpoint&, const Common::process_id&, const permit_exchange&);
    Common::millis orphanedTaskTimeout() const;

    node_context& m_context;
    peer_client& m_peers;
    call_executor& m_executor;
    std::unique_ptr<Limits::permit_cache> m_cache;
    std::map<Common::shard_id, Limits::team_ledger> m_ledgers;
    /// Ledgers that were closed before the release of their shard, with their last epoch.
    std::map<Common::shard_id, Common::shard_epoch> m_closedLedgers;
    std::set<Common::process_id> m_members;
    std::set<Common::process_id> m_openExchanges;
    std::vector<Common::revision_number> m_revisions;
    Common::instant m_lastMemberLoss;
    std::function<void()> m_onRaised;
};

}
