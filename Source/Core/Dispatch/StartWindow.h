#pragma once

#include "Common/Clock.h"

namespace Dispatch {

/// Limits how many starts may be unanswered at once (congestion control). The limit grows while it is used up and
/// answers are quick, and shrinks when most answers are slow, so that orders don't queue in front of a processor or a
/// link that is too slow for them. Uses no clock.
class start_window {
public:
    /// Number of starts that may be sent now.
    int room() const;
    int size() const { return m_size; }
    int inFlight() const { return m_inFlight; }
    void sent();
    /// A start was answered, or given up, after `time`.
    void startAnswered(Common::millis time, Common::instant now);
    /// A stop was answered, or given up, after `time`.
    void stopAnswered(Common::millis time, Common::instant now);
    /// The event loop is behind.
    void loopBehind(Common::instant now);

private:
    void noteAnswer(Common::millis time, Common::instant now);
    void shrink(Common::instant now);

    int m_size { 64 };
    int m_inFlight { 0 };
    /// Answers since the size was last changed.
    int m_quick { 0 };
    int m_slow { 0 };
    /// The window has been used up since the size was last changed.
    bool m_isUsedUp { false };
    Common::instant m_changedAt;
};

}
