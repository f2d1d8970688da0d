#pragma once

#include "Common/Clock.h"

#include <optional>

namespace ControlPlane {

struct load_thresholds {
    /// The event loop is behind once a timer fires this much late.
    Common::millis behind { 300 };
    /// It has caught up once no timer has fired later than this for `calmTime`.
    Common::millis caughtUp { 100 };
    Common::millis calmTime { 300 };
};

/// The event loop fell behind, or has caught up.
struct load_change {
    bool isBehind { false };
    /// Lateness of the timer that showed it.
    Common::millis lag { 0 };
    /// How long it was behind.
    Common::millis behindFor { 0 };
};

/// Tells from the lateness of timers whether the event loop keeps up. Uses no clock.
class load_monitor {
public:
    explicit load_monitor(const load_thresholds& thresholds = {})
        : m_thresholds(thresholds)
    {
    }

    /// A timer that was due at `due` fired at `now`.
    std::optional<load_change> timerFired(Common::instant due, Common::instant now);
    bool isBehind() const { return m_isBehind; }
    /// Lateness of the last timer.
    Common::millis lag() const { return m_lag; }
    /// Greatest lateness since the last call.
    Common::millis takeWorstLag();
    const load_thresholds& thresholds() const { return m_thresholds; }

private:
    load_thresholds m_thresholds;
    bool m_isBehind { false };
    Common::millis m_lag { 0 };
    Common::millis m_worstLag { 0 };
    Common::instant m_behindSince;
    /// When a timer last fired later than `caughtUp`.
    Common::instant m_lateAt;
};

}
