#pragma once

namespace Bench {

/// Measures the memory that open jobs take in the registry of any instance and in a leader's dispatcher, and prints it
/// beside the estimate that decides whether a job is accepted.
void runJobMemory();

}
