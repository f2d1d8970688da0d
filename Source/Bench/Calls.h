#pragma once

namespace Bench {

struct calls_options {
    int exchanges { 50'000 };
    int lines { 100'000 };
};

/// Makes exchanges with a stand-in for workers over loopback and writes log lines to standard error; prints the
/// processor time of each on standard output.
void runCalls(const calls_options&);

}
