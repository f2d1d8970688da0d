#include "ControlPlane/CapacityController.h"

#include "Common/Logging.h"

#include <cmath>

namespace ControlPlane {

namespace {

    constexpr Common::millis planInterval { 80 };
    /// Delay between reads of the instance list, without and with changes under way.
    constexpr Common::millis idleListDelay { 1000 };
    constexpr Common::millis changingListDelay { 250 };
    /// Shortest time between two log entries of each pool.
    constexpr Common::millis poolReportInterval { 1000 };
    constexpr Common::millis instanceTimeout { 1500 };
    constexpr Common::millis statusTimeout { 1000 };
    constexpr Common::millis statusRetryDelay { 200 };

    const char* toText(Capacity::instance_outcome outcome)
    {
        using enum Capacity::instance_outcome;
        switch (outcome) {
        case Done:
            return "done";
        case Fenced:
            return "fenced";
        case Busy:
            return "busy";
        case NotInWave:
            return "not_in_wave";
        case Invalid:
            return "invalid";
        case Refused:
            return "refused";
        case NoAnswer:
            break;
        }
        return "no_answer";
    }

}

capacity_controller::capacity_controller(const capacity_controller_parts& parts,
    Dispatch::fencing_token token, Dispatch::dispatcher& dispatcher,
    wave_storer storeWave)
    : m_parts(parts)
    , m_token(token)
    , m_dispatcher(dispatcher)
    , m_storeWave(std::move(storeWave))
    , m_planner(Capacity::sizer_options {})
{
}

void capacity_controller::start(const std::map<std::int64_t, Capacity::wave_status>& known)
{
    for (const auto& [number, status] : known)
        m_planner.restore(status);
    readInstances();
}

void capacity_controller::setRules(const Rules::fleet_rules& rules) { m_planner.setRules(rules); }

void capacity_controller::setWaves(const std::map<std::int64_t, Rules::maintenance_wave>& waves)
{
    m_planner.setWaves(waves, m_parts.timers.now());
}

void capacity_controller::readInstances()
{
    if (m_isOver)
        return;
    const auto began = m_parts.timers.now();
    m_parts.instances.list(
        instanceTimeout, [self = shared_from_this(), began](const auto& list) {
            if (self->m_isOver)
                return;
            if (list)
                self->m_planner.onList(*list, self->m_dispatcher, began, self->m_parts.timers.now(), Common::wallNow());
            const auto delay = self->m_planner.isChanging() ? changingListDelay : idleListDelay;
            self->m_parts.timers.after(delay, [self] { self->readInstances(); });
        });
}

void capacity_controller::plan(bool mayOrder)
{
    const auto now = m_parts.timers.now();
    if (m_isOver || !mayOrder || now - m_plannedAt < planInterval)
        return;
    m_plannedAt = now;
    sendOrders(m_planner.plan(m_dispatcher, now, Common::wallNow()));
    publishChanges();
    reportPools(now);
}

void capacity_controller::reportPools(Common::instant now)
{
    if (now - m_reportedAt < poolReportInterval)
        return;
    m_reportedAt = now;
    const auto cores = [](const Jobs::resources& amount) { return std::to_string(amount.processor.value / 1000); };
    for (const auto& pool : m_planner.lastSurvey()) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Capacity, "pool",
            { { "pool", pool.pool.value }, { "wanted", std::to_string(pool.wanted) },
                { "present", std::to_string(pool.present) }, { "idle", std::to_string(pool.idle) },
                { "running_cores", cores(pool.demand.running) }, { "waiting_cores", cores(pool.demand.waiting) },
                { "later_cores", cores(pool.demand.blocked) }, { "late_cores", cores(pool.demand.late) },
                { "growth_percent", std::to_string(std::lround(pool.growth * 100)) },
                { "spread_workers", std::to_string(pool.demand.workersForSpread) } });
    }
}

void capacity_controller::sendOrders(const Capacity::capacity_orders& orders)
{
    const auto report = [](const char* event, const Common::instance_id& id, const std::string& to, auto outcome) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Capacity, event,
            { { "instance_id", id.value }, { "to", to }, { "outcome", toText(outcome) } });
    };
    for (const auto& order : orders.moves) {
        m_parts.eventCounters.add("moves");
        ++m_openOrders;
        m_parts.instances.move(
            order, m_token, instanceTimeout, [self = shared_from_this(), order, report](auto outcome) {
                --self->m_openOrders;
                report("instance_moved", order.instance, order.pool.value, outcome);
                // The term may be over and its dispatcher destroyed.
                if (self->m_isOver)
                    return;
                self->m_planner.onMove(order, outcome, self->m_dispatcher, self->m_parts.timers.now());
            });
    }
    for (const auto& order : orders.maintenanceOrders) {
        m_parts.eventCounters.add("upkeeps");
        ++m_openOrders;
        m_parts.instances.startMaintenance(
            order, m_token, instanceTimeout, [self = shared_from_this(), order, report](auto outcome) {
                --self->m_openOrders;
                report("maintenance_started", order.instance, std::to_string(order.wave), outcome);
                if (self->m_isOver)
                    return;
                self->m_planner.onMaintenance(order, outcome, self->m_parts.timers.now());
                self->publishChanges();
            });
    }
}

void capacity_controller::publishChanges()
{
    for (const auto& status : m_planner.takeChanges()) {
        m_storeWave(status, [self = shared_from_this(), status] { self->publishStatus(status); });
    }
}

void capacity_controller::publishStatus(const Capacity::wave_status& status)
{
    const auto published = m_published.find(status.wave);
    if (m_isOver || (published != m_published.end() && (published->second || published->second == status.isCompleted)))
        return;
    m_published[status.wave] = status.isCompleted;
    const Records::append_request request { .partition = m_parts.statusTopic,
        .records = { m_parts.format.waveStatus(status.wave, status.isCompleted) } };
    m_parts.store.append(request, statusTimeout, [self = shared_from_this(), status](const auto& result) {
        if (result.outcome == Records::append_outcome::Stored || self->m_isOver)
            return;
        self->m_published.erase(status.wave);
        self->m_parts.timers.after(statusRetryDelay, [self, status] { self->publishStatus(status); });
    });
}

}
