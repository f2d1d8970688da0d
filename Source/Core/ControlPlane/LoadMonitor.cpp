#include "ControlPlane/LoadMonitor.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

std::optional<load_change> load_monitor::timerFired(Common::instant due, Common::instant now)
{
    m_lag = Common::elapsed(due, now);
    m_worstLag = std::max(m_worstLag, m_lag);
    if (m_lag > m_thresholds.caughtUp)
        m_lateAt = now;
    if (!m_isBehind && m_lag >= m_thresholds.behind) {
        m_isBehind = true;
        m_behindSince = due;
        return load_change { .isBehind = true, .lag = m_lag };
    }
    if (m_isBehind && now - m_lateAt >= m_thresholds.calmTime) {
        m_isBehind = false;
        return load_change { .isBehind = false, .lag = m_lag, .behindFor = Common::elapsed(m_behindSince, now) };
    }
    return std::nullopt;
}

Common::millis load_monitor::takeWorstLag() { return std::exchange(m_worstLag, Common::millis(0)); }

}
