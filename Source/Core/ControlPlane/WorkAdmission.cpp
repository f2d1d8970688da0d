#include "ControlPlane/WorkAdmission.h"

#include <algorithm>

namespace ControlPlane {

namespace {

    /// A third of the memory is for open jobs and a quarter for placed tasks. An eighth is the callers', the rest for what the process
    /// needs without work, and for finished jobs.
    constexpr std::size_t openJobParts = 3;
    constexpr std::size_t placedTaskParts = 4;
    /// A placed task in the dispatcher, its row in the registry, and its orders.
    constexpr std::size_t bytesPerPlacedTask = 1536;
    constexpr std::size_t bytesPerMegabyte = 1U << 20U;
    constexpr std::size_t mostMegabytes = 1U << 20U;
    /// Before it has read what the others have stored meanwhile, an instance takes this part of what is left.
    constexpr std::size_t partsOfRest = 16;

}

work_limits workLimitsFor(std::optional<std::size_t> memoryMegabytes)
{
    work_limits limits;
    if (!memoryMegabytes)
        return limits;
    const auto bytes = std::min(*memoryMegabytes, mostMegabytes) * bytesPerMegabyte;
    limits.openJobBytes = bytes / openJobParts;
    limits.placedTasks = static_cast<int>(bytes / placedTaskParts / bytesPerPlacedTask);
    return limits;
}

bool work_admission::admit(
    std::size_t bytes, std::size_t openBytes, std::optional<Common::instant> viewConfirmedAt, Common::instant now)
{
    if (viewConfirmedAt && *viewConfirmedAt > m_windowBegan) {
        m_sinceConfirmed = 0;
        m_windowBegan = now;
    }
    const auto used = openBytes + m_inFlight;
    if (used + bytes > m_limit)
        return false;
    const auto share = (m_limit - used) / partsOfRest;
    if (m_sinceConfirmed > 0 && m_sinceConfirmed + bytes > share)
        return false;
    m_inFlight += bytes;
    m_sinceConfirmed += bytes;
    return true;
}

void work_admission::settle(std::size_t bytes) { m_inFlight -= std::min(bytes, m_inFlight); }

}
