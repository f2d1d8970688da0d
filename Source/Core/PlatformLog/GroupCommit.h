#pragma once

#include "Common/Clock.h"
#include "Fleet/Commands.h"

#include <optional>
#include <vector>

namespace PlatformLog {

/// Batches commands into log records. A batch whose append got no answer is sent again only after a
/// read that began later has reached the end of the log without finding it. Should a command be
/// appended twice nevertheless, the reducer skips the second copy.
class group_commit {
public:
    /// Maximum number of commands in one record.
    static constexpr std::size_t maxCommands = 256;
    /// Maximum number of commands that wait for an append.
    static constexpr std::size_t maxWaiting = 20'000;

    /// False when `maxWaiting` commands wait already.
    bool add(Fleet::command);

    /// Commands for the next append. Empty while one is in progress or its outcome is unknown.
    std::vector<Fleet::command> takeBatch();

    /// Whether `takeBatch` would return anything.
    bool isReady() const { return !m_appending && !m_outcomeUnknownSince && waiting() > 0; }

    void onAppended();
    /// This append certainly had no effect; the commands are offered again.
    void onNotAppended();
    /// The answer to the append was lost at `now`, so its outcome is unknown.
    void onMaybeAppended(Common::instant now);

    /// A read that began at `began` has reached the end of the log; `isApplied` tells whether a command was
    /// applied.
    template <typename Applied>
    void onEndOfLog(Common::instant began, Applied isApplied)
    {
        if (!m_outcomeUnknownSince || began <= *m_outcomeUnknownSince)
            return;
        m_outcomeUnknownSince.reset();
        std::erase_if(m_batch, isApplied);
        m_maybeAppended = !m_batch.empty();
    }

    /// Removes a command that was never part of an append. False when it may have been.
    bool withdraw(const Common::command_id&);

    std::size_t waiting() const { return m_waiting.size() + m_batch.size(); }

private:
    std::vector<Fleet::command> m_waiting;
    std::vector<Fleet::command> m_batch;
    bool m_appending { false };
    /// Whether an append of the batch may have taken effect.
    bool m_maybeAppended { false };
    std::optional<Common::instant> m_outcomeUnknownSince;
};

}
