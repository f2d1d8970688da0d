#include "Bench/Latency.h"
#include "Bench/PolicyBench.h"
#include "Bench/Slopes.h"

#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(mode, "policy", "policy, slopes or latency");
DEFINE_uint64(seed, 1, "seed of the policy's load");
DEFINE_string(callers, "", "callers' listeners, separated by commas");
DEFINE_string(workers, "", "workers, separated by commas");
DEFINE_string(key, "", "key of the team that sends the load");
DEFINE_string(queue, "", "queue that takes the load");
DEFINE_int32(threads, 16, "callers, each with one request at a time");
DEFINE_int32(run_ms, 5, "run time of each task");
DEFINE_int32(length_ms, 5000, "length of each run");
// NOLINTEND(readability-identifier-naming)

namespace {

std::vector<Common::endpoint> readAddresses(const std::string& text)
{
    std::vector<Common::endpoint> addresses;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (const auto address = Common::parseEndpoint(part))
            addresses.push_back(*address);
    }
    return addresses;
}

int runLatencyMode()
{
    const Bench::latency_options options { .callers = readAddresses(FLAGS_callers),
        .workers = readAddresses(FLAGS_workers),
        .key = FLAGS_key,
        .queue = FLAGS_queue,
        .threads = FLAGS_threads,
        .run = Common::millis(FLAGS_run_ms),
        .length = Common::millis(FLAGS_length_ms) };
    if (options.callers.empty() || options.workers.empty()) {
        std::cerr << "loft-bench: --callers and --workers are lists of IP:PORT\n";
        return 2;
    }
    Bench::runLatency(options);
    return 0;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("loft-bench --mode=policy|slopes|latency: measures; docs/MEASURES.md has the results");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return 1;
    if (FLAGS_mode == "latency")
        return runLatencyMode();
    if (FLAGS_mode == "slopes")
        Bench::runSlopes();
    else
        Bench::runPolicyBench(FLAGS_seed);
    return 0;
}
