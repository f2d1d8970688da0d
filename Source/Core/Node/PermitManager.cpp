#include "Node/PermitManager.h"

#include <algorithm>

namespace Node {

/// Permits of the daemon's cache, as seen by one pool's scheduler.
class permit_manager::scheduler_source final : public Pool::permit_source {
public:
    explicit scheduler_source(permit_manager& manager)
        : m_manager(manager)
        , m_cache(manager.m_cache.get())
    {
    }

    bool tryAcquire(const Common::team_id& team) override { return isCurrent() && m_cache->tryAcquire(team); }

    void release(const Common::team_id& team) override
    {
        if (isCurrent())
            m_cache->release(team);
    }

    void setWaiting(const Common::team_id& team, Common::slot_count waiting) override
    {
        Common::slot_count& known = m_waiting[team];
        if (isCurrent() && waiting != known)
            m_cache->addWaiting(team, waiting - known);
        known = waiting;
    }

private:
    /// False when the cache belonged to an earlier incarnation; its permits are void.
    bool isCurrent() const { return m_cache == m_manager.m_cache.get(); }

    permit_manager& m_manager;
    Limits::permit_cache* m_cache;
    std::map<Common::team_id, Common::slot_count> m_waiting;
};

permit_manager::permit_manager(node_context& context, peer_client& peers, call_executor& executor)
    : m_context(context)
    , m_peers(peers)
    , m_executor(executor)
    , m_cache(std::make_unique<Limits::permit_cache>(context.self()))
    , m_lastMemberLoss(context.incarnationBegan())
{
}

std::unique_ptr<Pool::permit_source> permit_manager::makeSource()
{
    return std::make_unique<scheduler_source>(*this);
}

Common::millis permit_manager::orphanedTaskTimeout() const
{
    return m_context.settings().timing.taskLease + m_context.settings().timing.margin;
}

void permit_manager::onState(Common::instant now)
{
    handleRemovedMembers(now);
    openAndCloseLedgers();
    std::vector<Common::revision_number> revisions;
    for (const auto& [name, account] : m_context.state().accounts)
        revisions.push_back(account.revision);
    if (revisions != m_revisions)
        m_cache->requestReports();
    m_revisions = std::move(revisions);
}

void permit_manager::onNewIncarnation(Common::instant now)
{
    m_cache = std::make_unique<Limits::permit_cache>(m_context.self());
    m_ledgers.clear();
    m_openExchanges.clear();
    m_lastMemberLoss = now;
}

void permit_manager::handleRemovedMembers(Common::instant now)
{
    const auto left = m_context.takeLeftMembers();
    const auto& members = m_context.state().members;
    std::erase_if(m_members, [&](const Common::process_id& process) {
        if (members.contains(process))
            return false;
        const bool gracefully = std::ranges::find(left, process) != left.end();
        if (!gracefully)
            m_lastMemberLoss = now;
        for (auto& [shard, ledger] : m_ledgers)
            ledger.onMemberRemoved(process, gracefully, now);
        return true;
    });
    for (const auto& [process, entry] : members)
        m_members.insert(process);
}

void permit_manager::openAndCloseLedgers()
{
    std::erase_if(m_ledgers, [this](const auto& entry) {
        const auto epoch = m_context.heldEpoch(entry.first);
        return !epoch || *epoch != entry.second.epoch();
    });
    for (const auto& [shard, assignment] : m_context.state().shards) {
        if (Fleet::poolOfShard(shard) || assignment.holder != m_context.self() || m_ledgers.contains(shard))
            continue;
        const auto closed = m_closedLedgers.find(shard);
        if (closed != m_closedLedgers.end() && closed->second == assignment.epoch)
            continue;
        const Limits::team_ledger::options options { .shard = shard,
            .epoch = assignment.epoch,
            .orphanedTaskTimeout = orphanedTaskTimeout(),
            .noGrantsBefore = m_lastMemberLoss + orphanedTaskTimeout() };
        m_ledgers.emplace(shard, Limits::team_ledger(options, m_context.state()));
    }
}

void permit_manager::closeLedger(const Common::shard_id& shard, Common::shard_epoch epoch)
{
    m_closedLedgers[shard] = epoch;
    m_ledgers.erase(shard);
}

void permit_manager::exchange(Common::instant now)
{
    if (!m_context.mayAct(now))
        return;
    std::map<Common::process_id, permit_exchange> outgoing;
    for (const auto& [shard, assignment] : m_context.state().shards) {
        if (Fleet::poolOfShard(shard) || m_openExchanges.contains(assignment.holder))
            continue;
        if (m_cache->needsReport(shard, assignment.epoch))
            outgoing[assignment.holder].reports.push_back(m_cache->makeReport(shard, assignment.epoch));
    }
    for (auto& [holder, reports] : outgoing)
        exchangeWith(holder, std::move(reports));
}

void permit_manager::exchangeWith(const Common::process_id& holder, permit_exchange reports)
{
    if (holder == m_context.self()) {
        const auto reply = onReports(reports, Common::boot_clock::now());
        for (const auto& grant : reply.grants)
            m_cache->onGrant(grant);
        m_onRaised();
        return;
    }
    const auto member = m_context.state().members.find(holder);
    if (member == m_context.state().members.end())
        return;
    m_openExchanges.insert(holder);
    m_executor.run([this, holder, address = member->second.info.peers, reports = std::move(reports)] {
        sendTo(address, holder, reports);
    });
}

void permit_manager::sendTo(
    const Common::endpoint& address, const Common::process_id& holder, const permit_exchange& reports)
{
    const auto reply = m_peers.exchangePermits(address, reports);
    const auto lock = m_context.lock();
    m_openExchanges.erase(holder);
    if (!reply || reports.reports.front().process != m_context.self())
        return;
    for (const auto& grant : reply->grants)
        m_cache->onGrant(grant);
    m_onRaised();
}

permit_exchange_reply permit_manager::onReports(const permit_exchange& exchange, Common::instant now)
{
    permit_exchange_reply reply;
    if (!m_context.mayAct(now))
        return reply;
    for (const auto& report : exchange.reports) {
        const auto ledger = m_ledgers.find(report.shard);
        if (ledger == m_ledgers.end())
            continue;
        if (auto grant = ledger->second.onReport(report, m_context.state(), now))
            reply.grants.push_back(std::move(*grant));
    }
    return reply;
}

}
