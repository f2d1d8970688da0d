#include "Bench/Percentiles.h"

#include <algorithm>

namespace Bench {

double percentile(std::vector<double>& samples, double fraction)
{
    if (samples.empty())
        return 0;
    std::ranges::sort(samples);
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(samples.size()));
    return samples[std::min(rank, samples.size() - 1)];
}

}
