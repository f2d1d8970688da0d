#pragma once

#include "Common/Clock.h"
#include "Fleet/Commands.h"

#include <optional>
#include <vector>

namespace PlatformLog {

/// Collects commands into few records. Decides what may be appended, and when a record whose answer
/// was lost may be sent again: only after a read that began later has reached the end of the log
/// without it. The reducer skips a second copy in any case.
class group_commit {
public:
    /// Most commands in one record.
    static constexpr std::size_t maxCommands = 256;
    /// Most commands that may wait.
    static constexpr std::size_t maxWaiting = 20'000;

    /// False when too many commands wait already.
    bool add(Fleet::command);

    /// Commands for the next append. Empty while one is under way or unresolved.
    std::vector<Fleet::command> take();

    /// Whether `take` would return anything.
    bool isReady() const { return !m_appending && !m_unresolvedSince && waiting() > 0; }

    void onTaken();
    /// The service didn't take the record; it is offered again.
    void onNotTaken();
    /// The answer was lost at `now`.
    void onMaybeTaken(Common::instant now);

    /// A read that began at `began` has reached the end of the log, and `isApplied` knows what was applied.
    template <typename Applied>
    void onEndOfLog(Common::instant began, Applied isApplied)
    {
        if (!m_unresolvedSince || began <= *m_unresolvedSince)
            return;
        m_unresolvedSince.reset();
        std::erase_if(m_underWay, isApplied);
        m_maybeTaken = !m_underWay.empty();
    }

    /// Removes a command that never was part of an append. False when it may have been.
    bool withdraw(const Common::command_id&);

    std::size_t waiting() const { return m_waiting.size() + m_underWay.size(); }

private:
    std::vector<Fleet::command> m_waiting;
    std::vector<Fleet::command> m_underWay;
    bool m_appending { false };
    /// Whether an append of the commands under way may have taken effect.
    bool m_maybeTaken { false };
    std::optional<Common::instant> m_unresolvedSince;
};

}
