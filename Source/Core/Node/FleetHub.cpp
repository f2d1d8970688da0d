#include "Node/FleetHub.h"

#include "Common/Hashing.h"

namespace Node {

fleet_hub::fleet_hub(const Settings::daemon_settings& settings)
    : m_settings(settings)
    , m_self { settings.instance + "-" + Common::randomId() }
    , m_lifeBegan(Common::boot_clock::now())
    , m_keeper(m_self, settings.timing, m_lifeBegan)
    , m_promises(m_self, settings.timing)
{
}

bool fleet_hub::mayAct(Common::instant now) const
{
    const bool isWhole = m_replica.hasState() && m_replica.lastReason() == Fleet::replica_failure::None;
    return isWhole && m_keeper.isMember(state()) && m_keeper.mayAct(now);
}

Common::instant fleet_hub::actsUntil() const
{
    return m_keeper.actsUntil();
}

std::optional<Common::shard_epoch> fleet_hub::heldEpoch(const Common::shard_id& shard) const
{
    const auto holding = Fleet::holderOf(state(), shard);
    if (!holding || holding->holder != m_self)
        return std::nullopt;
    return holding->epoch;
}

bool fleet_hub::submit(Fleet::command added)
{
    const bool taken = m_commit.add(std::move(added));
    m_commands.notify_one();
    return taken;
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
        m_applied.wait_for(lock, deadline - now);
    }
}

void fleet_hub::onPage(const PlatformLog::log_page& page, Common::instant began)
{
    const auto now = Common::boot_clock::now();
    m_replica.feed(page.firstKept, page.records);
    const bool atEnd = m_replica.next() >= page.end;
    m_keeper.onLogAnswered(now);
    if (atEnd && m_replica.lastReason() == Fleet::replica_failure::None) {
        m_keeper.onViewConfirmed(began);
        m_commit.onEndOfLog(began, [this](const Fleet::command& sent) {
            return !sent.id.empty() && Fleet::resultOf(state(), sent.id);
        });
        m_commands.notify_one();
    }
    m_keeper.onState(state(), now);
    const bool isMember = m_keeper.isMember(state());
    if (m_wasMember && !isMember)
        beginNewLife(now);
    m_wasMember = isMember;
    for (state_listener* const listener : m_listeners)
        listener->onState(now);
    if (!page.records.empty())
        m_applied.notify_all();
}

void fleet_hub::beginNewLife(Common::instant now)
{
    m_self = { m_settings.instance + "-" + Common::randomId() };
    m_lifeBegan = now;
    m_keeper = Roster::lease_keeper(m_self, m_settings.timing, now);
    m_promises = Roster::promise_book(m_self, m_settings.timing);
    for (state_listener* const listener : m_listeners)
        listener->onNewLife(now);
}

void fleet_hub::waitForCommands(std::unique_lock<std::mutex>& lock, Common::millis timeout)
{
    m_commands.wait_for(lock, timeout);
}

void fleet_hub::notifyAll()
{
    m_applied.notify_all();
    m_commands.notify_all();
}

}
