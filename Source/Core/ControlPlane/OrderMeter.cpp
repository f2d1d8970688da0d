#include "ControlPlane/OrderMeter.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

namespace {

    /// Longer than a refresh of a view, so that views that couldn't be read are read again before answers count as quick.
    constexpr Common::millis answerInterval { 1000 };
    /// An answer that takes longer is slow.
    constexpr Common::millis slowAnswer { 350 };

}

void order_meter::answered(order_kind kind, Common::millis time, bool isAnswered, Common::instant now)
{
    --m_inFlight[index(kind)];
    if (now - m_intervalBegan >= answerInterval) {
        const bool isAdjacent = now - m_intervalBegan < 2 * answerInterval;
        m_previous = isAdjacent ? m_present : answer_counts();
        m_present = {};
        m_intervalBegan = now;
    }
    ++(isAnswered && time <= slowAnswer ? m_present.quick : m_present.slow);
    if (isAnswered)
        m_slowest = std::max(m_slowest, time);
    else
        ++m_unanswered;
}

bool order_meter::areAnswersSlow(Common::instant now) const
{
    if (now - m_began < answerInterval)
        return true;
    const auto age = now - m_intervalBegan;
    return (age < 2 * answerInterval && m_present.isSlow()) || (age < answerInterval && m_previous.isSlow());
}

Common::millis order_meter::takeSlowest() { return std::exchange(m_slowest, Common::millis(0)); }

int order_meter::takeUnanswered() { return std::exchange(m_unanswered, 0); }

}
