#include "Capacity/DemandForecast.h"

#include <algorithm>

namespace Capacity {

namespace {

    /// The rise is measured over both times; the steeper one counts, so that a sudden rise is noticed early.
    constexpr Common::millis shortWindow { 400 };
    constexpr Common::millis longWindow { 1000 };
    /// Shorter spans say nothing of the rise.
    constexpr Common::millis minSpan { 200 };
    /// A rise of less than this share of the demand within a window is taken for chance.
    constexpr double minRise = 0.2;
    /// Weight of a measured move against the earlier ones, and the longest time that counts as one.
    constexpr double moveRate = 0.1;
    constexpr Common::millis longestMove { 5000 };

}

demand_forecast::demand_forecast(const forecast_options& options)
    : m_options(options)
    , m_leadTime(options.leadTime)
{
}

void demand_forecast::note(const Common::pool_id& pool, Common::millicores level, Common::instant now)
{
    auto& history = m_pools[pool];
    auto& samples = history.samples;
    samples.push_back({ .at = now, .level = level });
    // One sample older than the window stays, so that the window is always covered.
    while (samples.size() > 2 && now - samples[1].at >= longWindow)
        samples.pop_front();
    noteLevel(history, level, m_options);
}

void demand_forecast::noteLevel(
    pool_history& history, Common::millicores level, const forecast_options& options)
{
    history.highest = std::max(history.highest, level);
    const auto end = static_cast<double>(history.highest.value) * options.shareAtEnd;
    if (static_cast<double>(level.value) > end)
        return;
    // The rest of a peak on its way down isn't one of its own.
    if (static_cast<double>(history.highest.value) > static_cast<double>(history.lastPeak.value) * options.shareAtEnd)
        history.lastPeak = history.highest;
    history.highest = level;
}

void demand_forecast::noteMove(Common::millis time)
{
    const auto counted = static_cast<double>(std::min(time, longestMove).count());
    const auto known = static_cast<double>(m_leadTime.count());
    m_leadTime = Common::millis(static_cast<std::int64_t>(known + moveRate * (counted - known)));
}

double demand_forecast::slopeOver(const pool_history& history, Common::millis window)
{
    const auto& last = history.samples.back();
    const auto first = std::find_if(history.samples.begin(), history.samples.end(),
        [&](const sample& sample) { return last.at - sample.at <= window; });
    const auto span = Common::elapsed(first->at, last.at);
    if (span < minSpan)
        return 0;
    const auto rise = static_cast<double>(last.level.value - first->level.value);
    return rise < minRise * static_cast<double>(last.level.value) ? 0 : rise / static_cast<double>(span.count());
}

double demand_forecast::growth(const Common::pool_id& pool) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.samples.back().level.value <= 0)
        return 1;
    const auto& history = found->second;
    const auto level = static_cast<double>(history.samples.back().level.value);
    const auto slope = std::max(slopeOver(history, shortWindow), slopeOver(history, longWindow));
    if (slope <= 0)
        return 1;
    const auto continued = level + slope * static_cast<double>(m_leadTime.count());
    auto expected = std::min(continued, level * m_options.maxGrowth);
    const auto peak = static_cast<double>(history.lastPeak.value);
    if (level >= peak * m_options.shareAtRise)
        expected = std::max(expected, peak * m_options.shareOfPeak);
    return std::max(expected / level, 1.0);
}

Common::millicores demand_forecast::lastPeak(const Common::pool_id& pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? Common::millicores {} : found->second.lastPeak;
}

}
