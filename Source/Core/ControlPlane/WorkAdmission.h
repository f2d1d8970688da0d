#pragma once

#include "Common/Clock.h"

#include <cstddef>
#include <optional>

namespace ControlPlane {

/// What a process keeps for accepted work, in bytes and tasks.
struct work_limits {
    /// Open jobs, by Jobs::heldBytes.
    std::size_t openJobBytes { 64U << 20U };
    /// Tasks that this process has placed on workers while it leads.
    int placedTasks { 40'000 };
};

/// Limits for a process with this much memory; the defaults if it isn't known.
work_limits workLimitsFor(std::optional<std::size_t> memoryMegabytes);

/// Decides whether a job may be stored: all instances hold the open jobs, and each may have to lead, so what one can't hold is
/// refused by all. It answers accepted work that outgrows the memory of every process that would have to load it.
class work_admission {
public:
    explicit work_admission(std::size_t openJobBytes)
        : m_limit(openJobBytes)
    {
    }

    /// `openBytes` are those of the open jobs in this instance's view, which has all that were stored before `viewConfirmedAt`.
    /// An admitted job counts until `settle`.
    bool admit(std::size_t bytes, std::size_t openBytes, std::optional<Common::instant> viewConfirmedAt, Common::instant now);
    /// The append has ended: the job is in the view if it was stored.
    void settle(std::size_t bytes);
    std::size_t limit() const { return m_limit; }

private:
    std::size_t m_limit { 0 };
    std::size_t m_inFlight { 0 };
    /// Admitted since `m_windowBegan`; the view is older.
    std::size_t m_sinceConfirmed { 0 };
    Common::instant m_windowBegan;
};

}
