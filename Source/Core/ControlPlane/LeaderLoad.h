#pragma once

#include "ControlPlane/LoadMonitor.h"
#include "ControlPlane/OrderMeter.h"
#include "ControlPlane/ViewMonitor.h"
#include "Dispatch/Dispatcher.h"

#include <array>
#include <functional>

namespace ControlPlane {

/// What a leader knows about its own process.
struct leader_health {
    load_monitor& load;
    view_monitor& views;
    /// Processor time that the process has used; empty when it isn't measured.
    std::function<Common::millis()> processorTime;
};

struct load_gauge {
    const char* name;
    std::int64_t value;
};

/// Load of a leader in the last interval, for logs and metrics.
struct leader_load {
    /// Length of the interval, and processor time that the process used in it.
    Common::millis interval { 0 };
    Common::millis processorTime { 0 };
    Common::millis worstLag { 0 };
    Common::millis slowestAnswer { 0 };
    int unanswered { 0 };
    int startsInFlight { 0 };
    int stopsInFlight { 0 };
    int pollsInFlight { 0 };
    int startWindow { 0 };
    Dispatch::dispatch_backlog backlog;
    std::optional<Common::millis> registrationsAge;
    std::optional<Common::millis> intakeAge;
    std::optional<Common::millis> rulesAge;

    static constexpr std::size_t gaugeCount = 15;
    std::array<load_gauge, gaugeCount> gauges() const;
};

/// Writes one line `leader_load`.
void report(const leader_load&);
/// Writes a line when the event loop falls behind, and when it has caught up.
void report(const load_change&, const load_thresholds&);

/// Measures a leader's load once each `reportInterval`.
class leader_load_meter {
public:
    leader_load_meter(const leader_health&, Common::instant now);

    /// Whether an interval is over.
    bool isDue(Common::instant now) const;
    const leader_load& measure(
        order_meter&, int startWindow, const Dispatch::dispatch_backlog&, Common::instant now);
    /// The last measurement.
    const leader_load& last() const { return m_last; }

private:
    const leader_health& m_health;
    Common::instant m_began;
    Common::millis m_processorTime { 0 };
    leader_load m_last;
};

}
