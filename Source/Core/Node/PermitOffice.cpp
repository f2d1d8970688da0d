#include "Node/PermitOffice.h"

#include <algorithm>

namespace Node {

/// Permits of the daemon's wallet as one desk sees them.
class permit_office::desk_source final : public Pool::permit_source {
public:
    explicit desk_source(permit_office& office)
        : m_office(office)
        , m_wallet(office.m_wallet.get())
    {
    }

    bool tryTake(const Common::team_id& team) override { return isCurrent() && m_wallet->tryTake(team); }

    void giveBack(const Common::team_id& team) override
    {
        if (isCurrent())
            m_wallet->giveBack(team);
    }

    void setWaiting(const Common::team_id& team, Common::slot_count waiting) override
    {
        Common::slot_count& known = m_waiting[team];
        if (isCurrent() && waiting != known)
            m_wallet->addWaiting(team, waiting - known);
        known = waiting;
    }

private:
    /// A wallet of an earlier life is gone, and its permits with it.
    bool isCurrent() const { return m_wallet == m_office.m_wallet.get(); }

    permit_office& m_office;
    Limits::permit_wallet* m_wallet;
    std::map<Common::team_id, Common::slot_count> m_waiting;
};

permit_office::permit_office(fleet_hub& hub, peer_client& peers, task_runner& runner)
    : m_hub(hub)
    , m_peers(peers)
    , m_runner(runner)
    , m_wallet(std::make_unique<Limits::permit_wallet>(hub.self()))
    , m_lastLoss(hub.lifeBegan())
{
}

std::unique_ptr<Pool::permit_source> permit_office::makeSource()
{
    return std::make_unique<desk_source>(*this);
}

Common::millis permit_office::taskHold() const
{
    return m_hub.settings().timing.taskLease + m_hub.settings().timing.margin;
}

void permit_office::onState(Common::instant now)
{
    noteRemovedMembers(now);
    openAndCloseLedgers();
    std::vector<Common::revision_number> revisions;
    for (const auto& [name, account] : m_hub.state().accounts)
        revisions.push_back(account.revision);
    if (revisions != m_revisions)
        m_wallet->refresh();
    m_revisions = std::move(revisions);
}

void permit_office::onNewLife(Common::instant now)
{
    m_wallet = std::make_unique<Limits::permit_wallet>(m_hub.self());
    m_ledgers.clear();
    m_exchanging.clear();
    m_lastLoss = now;
}

void permit_office::noteRemovedMembers(Common::instant now)
{
    const auto left = m_hub.takeLeftMembers();
    const auto& members = m_hub.state().members;
    std::erase_if(m_members, [&](const Common::process_id& process) {
        if (members.contains(process))
            return false;
        const bool gracefully = std::ranges::find(left, process) != left.end();
        if (!gracefully)
            m_lastLoss = now;
        for (auto& [shard, ledger] : m_ledgers)
            ledger.onMemberRemoved(process, gracefully, now);
        return true;
    });
    for (const auto& [process, entry] : members)
        m_members.insert(process);
}

void permit_office::openAndCloseLedgers()
{
    std::erase_if(m_ledgers, [this](const auto& entry) {
        const auto epoch = m_hub.heldEpoch(entry.first);
        return !epoch || *epoch != entry.second.epoch();
    });
    for (const auto& [shard, holding] : m_hub.state().shards) {
        if (Fleet::poolOfShard(shard) || holding.holder != m_hub.self() || m_ledgers.contains(shard))
            continue;
        const auto closed = m_closed.find(shard);
        if (closed != m_closed.end() && closed->second == holding.epoch)
            continue;
        const Limits::team_ledger::options options { .shard = shard,
            .epoch = holding.epoch,
            .taskHold = taskHold(),
            .holdUntil = m_lastLoss + taskHold() };
        m_ledgers.emplace(shard, Limits::team_ledger(options, m_hub.state()));
    }
}

void permit_office::closeLedger(const Common::shard_id& shard, Common::shard_epoch epoch)
{
    m_closed[shard] = epoch;
    m_ledgers.erase(shard);
}

void permit_office::exchange(Common::instant now)
{
    if (!m_hub.mayAct(now))
        return;
    std::map<Common::process_id, permit_exchange> outgoing;
    for (const auto& [shard, holding] : m_hub.state().shards) {
        if (Fleet::poolOfShard(shard) || m_exchanging.contains(holding.holder))
            continue;
        if (m_wallet->wantsExchange(shard, holding.epoch))
            outgoing[holding.holder].reports.push_back(m_wallet->makeReport(shard, holding.epoch));
    }
    for (auto& [holder, reports] : outgoing)
        exchangeWith(holder, std::move(reports));
}

void permit_office::exchangeWith(const Common::process_id& holder, permit_exchange reports)
{
    if (holder == m_hub.self()) {
        const auto reply = onReports(reports, Common::boot_clock::now());
        for (const auto& grant : reply.grants)
            m_wallet->onGrant(grant);
        m_onRaised();
        return;
    }
    const auto member = m_hub.state().members.find(holder);
    if (member == m_hub.state().members.end())
        return;
    m_exchanging.insert(holder);
    m_runner.run([this, holder, address = member->second.info.peers, reports = std::move(reports)] {
        sendTo(address, holder, reports);
    });
}

void permit_office::sendTo(
    const Common::endpoint& address, const Common::process_id& holder, const permit_exchange& reports)
{
    const auto reply = m_peers.exchangePermits(address, reports);
    const auto lock = m_hub.hold();
    m_exchanging.erase(holder);
    if (!reply || reports.reports.front().process != m_hub.self())
        return;
    for (const auto& grant : reply->grants)
        m_wallet->onGrant(grant);
    m_onRaised();
}

permit_exchange_reply permit_office::onReports(const permit_exchange& exchange, Common::instant now)
{
    permit_exchange_reply reply;
    if (!m_hub.mayAct(now))
        return reply;
    for (const auto& report : exchange.reports) {
        const auto ledger = m_ledgers.find(report.shard);
        if (ledger == m_ledgers.end())
            continue;
        if (auto grant = ledger->second.onReport(report, m_hub.state(), now))
            reply.grants.push_back(std::move(*grant));
    }
    return reply;
}

}
