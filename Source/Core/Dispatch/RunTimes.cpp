#include "Dispatch/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

    /// Weight of a new value against the earlier ones.
    constexpr double learningRate = 0.05;
    /// Before this many ends the estimates count.
    constexpr int minEnds = 16;

}

void run_times::note(const Common::queue_id& queue, Common::millis estimate, Common::millis actual)
{
    auto& known = m_queues[queue];
    const auto value = static_cast<double>(actual.count());
    ++known.count;
    // The first values count alike.
    const auto rate = std::max(learningRate, 1.0 / known.count);
    if (known.count > 1)
        known.meanError += rate * (std::abs(value - known.mean) - known.meanError);
    known.estimateError += rate * (std::abs(value - static_cast<double>(estimate.count())) - known.estimateError);
    known.mean += rate * (value - known.mean);
}

Common::millis run_times::expected(const Common::queue_id& queue, Common::millis estimate) const
{
    const auto found = m_queues.find(queue);
    const bool isLearnt = found != m_queues.end() && found->second.count >= minEnds;
    if (!isLearnt || (estimate.count() > 0 && found->second.estimateError <= found->second.meanError))
        return estimate;
    return Common::millis(std::llround(found->second.mean));
}

}
