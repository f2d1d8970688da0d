#pragma once

#include <vector>

namespace Bench {

/// Value below which the given part of the samples lies; 0 without samples. Sorts the samples.
double percentile(std::vector<double>& samples, double part);

}
