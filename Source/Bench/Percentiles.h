#pragma once

#include <vector>

namespace Bench {

/// The value below which the given fraction of the samples lies; 0 without samples. Sorts the samples.
double percentile(std::vector<double>& samples, double fraction);

}
