#pragma once

#include "Limits/PermitWallet.h"
#include "Limits/TeamLedger.h"
#include "Node/FleetHub.h"
#include "Node/PeerClient.h"
#include "Node/TaskRunner.h"
#include "Pool/PoolDesk.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Node {

/// Keeps this daemon's permits and the parts of the team ledgers that it holds, and exchanges reports
/// and grants with the other holders. Called with the hub's lock held, unless said otherwise.
class permit_office final : public state_listener {
public:
    permit_office(fleet_hub&, peer_client&, task_runner&);

    /// Called, with the lock held, whenever permits may have been raised.
    void onRaised(std::function<void()> callback) { m_onRaised = std::move(callback); }

    /// Source of permits for one pool's desk.
    std::unique_ptr<Pool::permit_source> makeSource();

    /// Exchanges with all holders for which something is to be reported.
    void exchange(Common::instant now);
    /// Answers reports of another daemon.
    permit_exchange_reply onReports(const permit_exchange&, Common::instant now);
    /// Ends a part of the ledgers before it is released; no report is answered under its epoch any more.
    void closeLedger(const Common::shard_id&, Common::shard_epoch);
    /// Lets go of idle permits; call about twice a second.
    void cool() { m_wallet->cool(); }

    Common::slot_count running(const Common::team_id& team) const { return m_wallet->running(team); }
    Common::slot_count allowance(const Common::team_id& team) const { return m_wallet->allowance(team); }
    Common::slot_count runningTotal() const { return m_wallet->runningTotal(); }

    void onState(Common::instant now) override;
    void onNewLife(Common::instant now) override;

private:
    class desk_source;

    void noteRemovedMembers(Common::instant now);
    void openAndCloseLedgers();
    void exchangeWith(const Common::process_id&, permit_exchange);
    void sendTo(const Common::endpoint&, const Common::process_id&, const permit_exchange&);
    Common::millis taskHold() const;

    fleet_hub& m_hub;
    peer_client& m_peers;
    task_runner& m_runner;
    std::unique_ptr<Limits::permit_wallet> m_wallet;
    std::map<Common::shard_id, Limits::team_ledger> m_ledgers;
    /// Parts that were ended before their release, with the epoch that is over.
    std::map<Common::shard_id, Common::shard_epoch> m_closed;
    std::set<Common::process_id> m_members;
    std::set<Common::process_id> m_exchanging;
    std::vector<Common::revision_number> m_revisions;
    Common::instant m_lastLoss;
    std::function<void()> m_onRaised;
};

}
