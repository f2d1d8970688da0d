#include "Station/FleetRun.h"

#include "Common/Logging.h"

namespace Station {

namespace {

    constexpr Common::millis planInterval { 80 };
    /// Pause between two readings of the list, while nothing changes and while something does.
    constexpr Common::millis calmListPause { 1000 };
    constexpr Common::millis busyListPause { 250 };
    /// Shortest time between two reports of the pools in the log.
    constexpr Common::millis reportInterval { 1000 };
    constexpr Common::millis instanceTimeout { 1500 };
    constexpr Common::millis statusTimeout { 1000 };
    constexpr Common::millis statusRetry { 200 };

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

fleet_run::fleet_run(const fleet_parts& parts, Dispatch::fencing_token token, Dispatch::dispatcher& dispatcher,
    wave_keeper keep)
    : m_parts(parts)
    , m_token(token)
    , m_dispatcher(dispatcher)
    , m_keep(std::move(keep))
    , m_planner(Capacity::sizer_options {})
{
}

void fleet_run::start(const std::map<std::int64_t, Capacity::wave_status>& known)
{
    for (const auto& [number, status] : known)
        m_planner.restore(status);
    readList();
}

void fleet_run::setRules(const Rules::fleet_rules& rules) { m_planner.setRules(rules); }

void fleet_run::setWaves(const std::map<std::int64_t, Rules::upkeep_wave>& waves)
{
    m_planner.setWaves(waves, m_parts.timers.now());
}

void fleet_run::readList()
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
            const auto pause = self->m_planner.isChanging() ? busyListPause : calmListPause;
            self->m_parts.timers.after(pause, [self] { self->readList(); });
        });
}

void fleet_run::turn(bool mayOrder)
{
    const auto now = m_parts.timers.now();
    if (m_isOver || !mayOrder || now - m_plannedAt < planInterval)
        return;
    m_plannedAt = now;
    carryOut(m_planner.plan(m_dispatcher, now, Common::wallNow()));
    showChanges();
    reportPools(now);
}

void fleet_run::reportPools(Common::instant now)
{
    if (now - m_reportedAt < reportInterval)
        return;
    m_reportedAt = now;
    const auto cores = [](const Jobs::resources& amount) { return std::to_string(amount.processor.value / 1000); };
    for (const auto& pool : m_planner.lastSurvey()) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Capacity, "pool",
            { { "pool", pool.pool.value }, { "wanted", std::to_string(pool.wanted) },
                { "present", std::to_string(pool.present) }, { "idle", std::to_string(pool.idle) },
                { "running_cores", cores(pool.demand.running) }, { "waiting_cores", cores(pool.demand.waiting) },
                { "later_cores", cores(pool.demand.later) }, { "late_cores", cores(pool.demand.late) } });
    }
}

void fleet_run::carryOut(const Capacity::capacity_orders& orders)
{
    const auto report = [](const char* event, const Common::instance_id& id, const std::string& to, auto outcome) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Capacity, event,
            { { "instance_id", id.value }, { "to", to }, { "outcome", toText(outcome) } });
    };
    for (const auto& order : orders.moves) {
        m_parts.figures.add("moves");
        ++m_openOrders;
        m_parts.instances.move(
            order, m_token, instanceTimeout, [self = shared_from_this(), order, report](auto outcome) {
                --self->m_openOrders;
                report("instance_moved", order.instance, order.pool.value, outcome);
                // The tenure, and its dispatcher with it, may be gone.
                if (self->m_isOver)
                    return;
                self->m_planner.onMove(order, outcome, self->m_dispatcher, self->m_parts.timers.now());
            });
    }
    for (const auto& order : orders.upkeeps) {
        m_parts.figures.add("upkeeps");
        ++m_openOrders;
        m_parts.instances.upkeep(
            order, m_token, instanceTimeout, [self = shared_from_this(), order, report](auto outcome) {
                --self->m_openOrders;
                report("upkeep_begun", order.instance, std::to_string(order.wave), outcome);
                if (self->m_isOver)
                    return;
                self->m_planner.onUpkeep(order, outcome, self->m_parts.timers.now());
                self->showChanges();
            });
    }
}

void fleet_run::showChanges()
{
    for (const auto& status : m_planner.takeChanges()) {
        m_keep(status, [self = shared_from_this(), status] { self->showStatus(status); });
    }
}

void fleet_run::showStatus(const Capacity::wave_status& status)
{
    const auto shown = m_shown.find(status.wave);
    if (m_isOver || (shown != m_shown.end() && (shown->second || shown->second == status.isCompleted)))
        return;
    m_shown[status.wave] = status.isCompleted;
    const Records::append_request request { .where = m_parts.statusTopic,
        .records = { m_parts.format.waveStatus(status.wave, status.isCompleted) } };
    m_parts.store.append(request, statusTimeout, [self = shared_from_this(), status](const auto& result) {
        if (result.outcome == Records::append_outcome::Stored || self->m_isOver)
            return;
        self->m_shown.erase(status.wave);
        self->m_parts.timers.after(statusRetry, [self, status] { self->showStatus(status); });
    });
}

}
