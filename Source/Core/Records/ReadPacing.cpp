#include "Records/ReadPacing.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"

#include <algorithm>
#include <utility>

namespace Records {

namespace {

    constexpr Common::millis windowTime { 500 };
    /// An outage that begins or ends can show both outcomes in two windows.
    constexpr int windowsBeforeChange = 3;
    constexpr int minAnswered = 2;
    /// Share of refused reads from which the instance reads less often.
    constexpr double crowdedShare = 0.1;
    constexpr double maxStep = 2;
    /// Time without such a window before the instance reads more often again, and the factor for that.
    constexpr Common::millis calmTime { 15000 };
    constexpr double calmFactor = 0.9;
    /// Reads per second of an instance that doesn't lead, at the usual intervals.
    constexpr double usualReads = 12;
    /// Instances that are expected to take over first.
    constexpr double firstCandidates = 24;
    constexpr int maxDoublings = 4;
    /// An answer to a read that was sent earlier says nothing about the present.
    constexpr Common::millis recentRead { 500 };
    constexpr std::uint64_t turnSteps = 1000;

    double turnOf(const std::string& member, const std::string& about)
    {
        return static_cast<double>(Common::rendezvousRank(member, about) % turnSteps) / turnSteps;
    }

}

read_pacing::read_pacing(const read_pacing_options& options)
    : m_options(options)
    , m_turn(turnOf(options.member, "first_candidate"))
{
}

void read_pacing::note(bool isOverLimit, Common::instant now)
{
    if (m_windowBegan && now - *m_windowBegan >= windowTime)
        closeWindow(now);
    if (!m_windowBegan)
        m_windowBegan = now;
    ++(isOverLimit ? m_refused : m_answered);
    m_allRefused += isOverLimit ? 1 : 0;
}

void read_pacing::begin(double stretch, Common::instant now)
{
    if (std::exchange(m_hasBegun, true) || stretch <= m_stretch)
        return;
    m_stretch = std::min(stretch, maxStretch);
    m_lastChange = now;
}

void read_pacing::closeWindow(Common::instant now)
{
    const auto answered = std::exchange(m_answered, 0);
    const auto refused = std::exchange(m_refused, 0);
    m_windowBegan.reset();
    const auto share = static_cast<double>(refused) / std::max(1, answered + refused);
    const bool isCrowded = answered >= minAnswered && share >= crowdedShare;
    m_crowdedWindows = isCrowded ? m_crowdedWindows + 1 : 0;
    const auto before = m_stretch;
    if (m_crowdedWindows >= windowsBeforeChange)
        m_stretch = std::min(maxStretch, m_stretch * std::min(maxStep, 1 / (1 - share)));
    else if (now - m_lastChange >= calmTime)
        m_stretch = std::max(1.0, m_stretch * calmFactor);
    if (isCrowded || m_stretch != before)
        m_lastChange = now;
    if (m_stretch != before)
        Common::writeEvent(Common::log_level::Info, Common::log_category::Store, "read_pace",
            { { "stretch", std::to_string(m_stretch) }, { "before", std::to_string(before) },
                { "answered", std::to_string(answered) }, { "refused", std::to_string(refused) },
                { "first_candidate", isFirstCandidate() ? "true" : "false" } });
}

bool read_pacing::isFirstCandidate() const
{
    if (m_stretch <= 1 || m_isLeading)
        return true;
    const auto instances = m_stretch * m_options.readsPerSecond / usualReads;
    return m_turn < firstCandidates / instances;
}

Common::millis read_pacing::retryDelay(Common::millis usual, int refusals) const
{
    if (stretch() <= 1 || refusals == 0)
        return usual;
    const auto longest = usual * (1 << std::min(refusals, maxDoublings));
    const auto turn = turnOf(m_options.member, std::to_string(refusals));
    return usual + Common::millis(static_cast<std::int64_t>(turn * static_cast<double>(longest.count())));
}

void paced_store::append(
    const append_request& request, Common::millis timeout, std::function<void(append_result)> handler)
{
    m_store.append(request, timeout, std::move(handler));
}

void paced_store::read(const read_request& request, Common::millis timeout, std::function<void(read_result)> handler)
{
    m_store.read(request, timeout, [this, began = m_timers.now(), handler = std::move(handler)](const read_result& result) {
        note(result.outcome == read_outcome::Read, result.isOverLimit, began);
        handler(result);
    });
}

void paced_store::newest(const topic_partition& partition, const std::string& afterKey, Common::millis timeout,
    std::function<void(newest_result)> handler)
{
    m_store.newest(partition, afterKey, timeout,
        [this, began = m_timers.now(), handler = std::move(handler)](const newest_result& result) {
            note(result.isRead, result.isOverLimit, began);
            handler(result);
        });
}

void paced_store::note(bool isAnswered, bool isOverLimit, Common::instant began)
{
    const auto now = m_timers.now();
    if (isOverLimit || (isAnswered && Common::elapsed(began, now) <= recentRead))
        m_pacing.note(isOverLimit, now);
}

}
