#include "ControlPlane/OrderMeter.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

void order_meter::answered(order_kind kind, Common::millis time, bool isAnswered)
{
    --m_inFlight[index(kind)];
    if (isAnswered)
        m_slowest = std::max(m_slowest, time);
    else
        ++m_unanswered;
}

Common::millis order_meter::takeSlowest() { return std::exchange(m_slowest, Common::millis(0)); }

int order_meter::takeUnanswered() { return std::exchange(m_unanswered, 0); }

}
