#pragma once

#include "Common/Clock.h"

#include <array>

namespace ControlPlane {

enum class order_kind {
    Start,
    Stop,
    Poll,
    Pace
};

/// Counts unanswered orders and measures how long answers take.
class order_meter {
public:
    explicit order_meter(Common::instant now)
        : m_began(now)
    {
    }

    void sent(order_kind kind) { ++m_inFlight[index(kind)]; }
    /// An order was answered, or given up, after `time`; the wait that a poll asked for isn't part of it.
    void answered(order_kind, Common::millis time, bool isAnswered, Common::instant now);
    int inFlight(order_kind kind) const { return m_inFlight[index(kind)]; }
    /// Whether most orders of the last seconds were answered slowly or not at all, or too few orders were sent yet. The leader's own link is then full, or
    /// most workers are away.
    bool areAnswersSlow(Common::instant now) const;
    /// Longest time to an answer, and orders without one, since the last call.
    Common::millis takeSlowest();
    int takeUnanswered();

private:
    struct answer_counts {
        int slow { 0 };
        int quick { 0 };

        bool isSlow() const { return slow > quick; }
    };

    static std::size_t index(order_kind kind) { return static_cast<std::size_t>(kind); }

    std::array<int, 4> m_inFlight {};
    Common::millis m_slowest { 0 };
    int m_unanswered { 0 };
    /// Answers of the present interval, which began at `m_intervalBegan`, and of the one before it.
    answer_counts m_present;
    answer_counts m_previous;
    Common::instant m_intervalBegan;
    Common::instant m_began;
};

}
