#include "Node/FleetHub.h"

#include "Common/Hashing.h"

namespace Node {

fleet_hub::fleet_hub(const Settings::daemon_settings& settings)
    : m_settings(settings)
    , m_self { settings.instance + "-" + Common::randomId() }
    , m_incarnationBegan(Common::boot_clock::now())
    , m_leases(m_self, settings.timing, m_incarnationBegan)
    , m_voter(m_self, settings.timing)
{
}

bool fleet_hub::mayAct(Common::instant now) const
{
    const bool isReplicaUsable = m_replica.hasState() && m_replica.lastReason() == Fleet::replica_failure::None;
    return isReplicaUsable && m_leases.isMember(state()) && m_leases.mayAct(now);
}

Common::instant fleet_hub::actsUntil() const
{
    return m_leases.actsUntil();
}

std::optional<Common::shard_epoch> fleet_hub::heldEpoch(const Common::shard_id& shard) const
{
    const auto assignment = Fleet::holderOf(state(), shard);
    if (!assignment || assignment->holder != m_self)
        return std::nullopt;
    return assignment->epoch;
}

bool fleet_hub::submit(Fleet::command added)
{
    const bool accepted = m_commit.add(std::move(added));
    m_commandAdded.notify_one();
    return accepted;
}

Common::command_id fleet_hub::submitOwn(Fleet::command_body body)
{
    const Common::command_id id { m_self.value + ":" + Common::randomId() };
    submit({ .id = id, .author = {}, .role = Fleet::operator_role::System, .why = {}, .body = std::move(body) });
    return id;
}

std::optional<Fleet::command_result> fleet_hub::waitForResult(
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

void fleet_hub::onPage(const PlatformLog::log_page& page, Common::instant began)
{
    const auto now = Common::boot_clock::now();
    m_replica.feed(page.firstKept, page.records);
    const bool atEnd = m_replica.next() >= page.end;
    m_leases.onLogAnswered(now);
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

void fleet_hub::beginNewIncarnation(Common::instant now)
{
    m_self = { m_settings.instance + "-" + Common::randomId() };
    m_incarnationBegan = now;
    m_leases = Roster::lease_keeper(m_self, m_settings.timing, now);
    m_voter = Roster::promise_book(m_self, m_settings.timing);
    for (state_listener* const listener : m_listeners)
        listener->onNewIncarnation(now);
}

void fleet_hub::waitForCommands(std::unique_lock<std::mutex>& lock, Common::millis timeout)
{
    m_commandAdded.wait_for(lock, timeout);
}

void fleet_hub::notifyAll()
{
    m_stateApplied.notify_all();
    m_commandAdded.notify_all();
}

}
