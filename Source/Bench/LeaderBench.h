#pragma once

namespace Bench {

/// Measures the processor time of a leader's decisions at several fleet sizes, and prints it by part.
void runLeaderBench();

}
