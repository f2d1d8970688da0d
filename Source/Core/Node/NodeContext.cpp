#include "Node/NodeContext.h"

#include "Common/Hashing.h"

namespace Node {

node_context::node_context(const Settings::daemon_settings& settings)
    : m_settings(settings)
    , m_self { settings.instance + "-" + Common::randomId() }
    , m_incarnationBegan(Common::boot_clock::now())
    , m_leases(m_self, settings.timing, m_incarnationBegan)
    , m_voter(m_self, settings.timing)
{
}

bool node_context::mayAct(Common::instant now) const
{
    const bool isReplicaUsable = m_replica.hasState() && m_replica.lastReason() == Fleet::replica_failure::None;
    return isReplicaUsable && m_leases.isMember(state()) && m_leases.mayAct(now);
}

Common::instant node_context::mayActUntil() const
{
    return m_leases.mayActUntil();
}

std::optional<Common::shard_epoch> node_context::heldEpoch(const Common::shard_id& shard) const
{
    const auto assignment = Fleet::holderOf(state(), shard);
    if (!assignment || assignment->holder != m_self)
        return std::nullopt;
    return assignment->epoch;
}

bool node_context::submit(Fleet::command added)
{
    const bool accepted = m_commit.add(std::move(added));
    m_commandAdded.notify_one();
    return accepted;
}

Common::command_id node_context::submitOwn(Fleet::command_body body)
{
    const Common::command_id id { m_self.value + ":" + Common::randomId() };
    submit({ .id = id, .author = {}, .role = Fleet::operator_role::System, .why = {}, .body = std::move(body) });
    return id;
}

std::optional<Fleet::command_result> node_context::waitForResult(
    std::unique_lock<std::mutex>& lock, const Common::command_id& id, Common::instant deadline)
{
    while (true) {
        const auto result = Fleet::resultOf(state(), id);
        const auto now = Common::boot_clock::now();
        if (result || now >= deadline)
            return result;
        m_stateApplied.wait_for(lock, deadline - now);
    }
}

void node_context::onPage(const PlatformLog::log_page& page, Common::instant began)
{
    const auto now = Common::boot_clock::now();
    m_replica.applyRecords(page.firstKept, page.records);
    const bool atEnd = m_replica.next() >= page.end;
    m_leases.onLogResponse(now);
    if (atEnd && m_replica.lastReason() == Fleet::replica_failure::None) {
        m_leases.onViewConfirmed(began);
        m_commit.onEndOfLog(began, [this](const Fleet::command& sent) {
            return !sent.id.empty() && Fleet::resultOf(state(), sent.id);
        });
        m_commandAdded.notify_one();
    }
    m_leases.onState(state(), now);
    const bool isMember = m_leases.isMember(state());
    if (m_wasMember && !isMember)
        beginNewIncarnation(now);
    m_wasMember = isMember;
    for (state_listener* const listener : m_listeners)
        listener->onState(now);
    if (!page.records.empty())
        m_stateApplied.notify_all();
}

void node_context::beginNewIncarnation(Common::instant now)
{
    m_self = { m_settings.instance + "-" + Common::randomId() };
    m_incarnationBegan = now;
    m_leases = Membership::lease_tracker(m_self, m_settings.timing, now);
    m_voter = Membership::membership_voter(m_self, m_settings.timing);
    for (state_listener* const listener : m_listeners)
        listener->onNewIncarnation(now);
}

void node_context::waitForCommands(std::unique_lock<std::mutex>& lock, Common::millis timeout)
{
    m_commandAdded.wait_for(lock, timeout);
}

void node_context::notifyAll()
{
    m_stateApplied.notify_all();
    m_commandAdded.notify_all();
}

}
