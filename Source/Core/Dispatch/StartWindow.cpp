#include "Dispatch/StartWindow.h"

#include <algorithm>

namespace Dispatch {

namespace {

    constexpr int minWindow = 8;
    constexpr int maxWindow = 512;
    /// An answer that takes longer is slow.
    constexpr Common::millis slowAnswer { 350 };
    /// Shortest time between two reductions; answers to orders from before a reduction don't show its effect.
    constexpr Common::millis reductionInterval { 200 };
    /// The window shrinks for one slow answer per this many places in it.
    constexpr int slowShare = 8;
    /// The window grows by one for this many quick answers per place in it.
    constexpr int answersPerPlace = 2;

}

int start_window::room() const { return std::max(0, m_size - m_inFlight); }

void start_window::sent()
{
    ++m_inFlight;
    m_isUsedUp = m_isUsedUp || m_inFlight >= m_size;
}

void start_window::startAnswered(Common::millis time, Common::instant now)
{
    m_inFlight = std::max(0, m_inFlight - 1);
    noteAnswer(time, now);
}

void start_window::stopAnswered(Common::millis time, Common::instant now) { noteAnswer(time, now); }

void start_window::noteAnswer(Common::millis time, Common::instant now)
{
    // One worker that doesn't answer must not slow down the others, so most answers have to be slow.
    if (time > slowAnswer) {
        if (++m_slow > m_quick && m_slow >= std::max(1, m_size / slowShare))
            shrink(now);
        return;
    }
    if (++m_quick < std::max(1, m_size / answersPerPlace))
        return;
    if (m_isUsedUp && m_quick > m_slow)
        m_size = std::min(maxWindow, m_size + std::max(1, m_size / 4));
    m_quick = 0;
    m_slow = 0;
    m_isUsedUp = false;
}

void start_window::loopBehind(Common::instant now) { shrink(now); }

void start_window::shrink(Common::instant now)
{
    if (now - m_changedAt < reductionInterval)
        return;
    m_changedAt = now;
    m_size = std::max(minWindow, m_size / 2);
    m_quick = 0;
    m_slow = 0;
    m_isUsedUp = false;
}

}
