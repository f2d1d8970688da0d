#pragma once

#include "Jobs/Job.h"

#include <cstddef>

namespace Jobs {

/// A job with occurrences has at most this many steps open at a time, and at least one occurrence.
inline constexpr int maxOpenSteps = 4096;

/// Number of the occurrences of a job that may be open at a time.
int maxOpenOccurrences(const job_spec&);

/// Upper bound of the memory that a leader needs for an accepted job until it is finished, in bytes: the record, and the
/// state of its steps. Other instances need less. Tasks that run have a bound of their own.
std::size_t heldBytes(const job_record&);

}
