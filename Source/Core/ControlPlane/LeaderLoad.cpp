#include "ControlPlane/LeaderLoad.h"

#include "Common/Logging.h"

#include <utility>

namespace ControlPlane {

namespace {

    constexpr Common::millis reportInterval { 1000 };
    /// Shown for a view that hasn't been read yet.
    constexpr std::int64_t neverRead = -1;

    std::int64_t toGauge(const std::optional<Common::millis>& age) { return age ? age->count() : neverRead; }

    template <std::size_t... index>
    void writeGauges(const std::array<load_gauge, sizeof...(index)>& gauges, std::index_sequence<index...>)
    {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Dispatch, "leader_load",
            { { gauges[index].name, std::to_string(gauges[index].value) }... });
    }

    Common::millis processorTimeOf(const leader_health& health)
    {
        return health.processorTime ? health.processorTime() : Common::millis(0);
    }

}

std::array<load_gauge, leader_load::gaugeCount> leader_load::gauges() const
{
    return { { { "interval_ms", interval.count() }, { "processor_ms", processorTime.count() },
        { "loop_lag_ms", worstLag.count() }, { "slowest_answer_ms", slowestAnswer.count() },
        { "unanswered", unanswered }, { "starts_in_flight", startsInFlight }, { "stops_in_flight", stopsInFlight },
        { "polls_in_flight", pollsInFlight }, { "start_window", startWindow },
        { "starts_waiting", backlog.startsWaiting }, { "tasks_waiting", backlog.tasksWaiting },
        { "oldest_report_ms", backlog.oldestReport.count() }, { "registrations_age_ms", toGauge(registrationsAge) },
        { "intake_age_ms", toGauge(intakeAge) }, { "rules_age_ms", toGauge(rulesAge) } } };
}

void report(const leader_load& load)
{
    writeGauges(load.gauges(), std::make_index_sequence<leader_load::gaugeCount>());
}

void report(const load_change& change, const load_thresholds& thresholds)
{
    if (change.isBehind) {
        Common::writeEvent(Common::log_level::Warning, Common::log_category::Daemon, "loop_behind",
            { { "lag_ms", std::to_string(change.lag.count()) },
                { "threshold_ms", std::to_string(thresholds.behind.count()) } });
        return;
    }
    Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "loop_caught_up",
        { { "lag_ms", std::to_string(change.lag.count()) },
            { "threshold_ms", std::to_string(thresholds.caughtUp.count()) },
            { "behind_ms", std::to_string(change.behindFor.count()) } });
}

leader_load_meter::leader_load_meter(const leader_health& health, Common::instant now)
    : m_health(health)
    , m_began(now)
    , m_processorTime(processorTimeOf(health))
{
}

bool leader_load_meter::isDue(Common::instant now) const { return now - m_began >= reportInterval; }

const leader_load& leader_load_meter::measure(
    order_meter& orders, int startWindow, const Dispatch::dispatch_backlog& backlog, Common::instant now)
{
    const auto processorTime = processorTimeOf(m_health);
    m_last = { .interval = Common::elapsed(m_began, now),
        .processorTime = processorTime - m_processorTime,
        .worstLag = m_health.load.takeWorstLag(),
        .slowestAnswer = orders.takeSlowest(),
        .unanswered = orders.takeUnanswered(),
        .startsInFlight = orders.inFlight(order_kind::Start),
        .stopsInFlight = orders.inFlight(order_kind::Stop),
        .pollsInFlight = orders.inFlight(order_kind::Poll),
        .startWindow = startWindow,
        .backlog = backlog,
        .registrationsAge = m_health.views.age(view_kind::Registrations),
        .intakeAge = m_health.views.age(view_kind::Intake),
        .rulesAge = m_health.views.age(view_kind::Rules) };
    m_began = now;
    m_processorTime = processorTime;
    return m_last;
}

}
