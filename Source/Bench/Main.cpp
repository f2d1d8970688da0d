#include "Bench/Calls.h"
#include "Bench/JobMemory.h"
#include "Bench/Latency.h"
#include "Bench/LeaderBench.h"
#include "Bench/PolicyBench.h"
#include "Bench/Slopes.h"

#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(mode, "policy", "policy, slopes, leader, latency, calls or memory");
DEFINE_uint64(seed, 1, "seed of the load for --mode=policy");
DEFINE_string(callers, "", "IP:PORT of daemons' listeners for callers, separated by commas");
DEFINE_string(workers, "", "IP:PORT of workers, separated by commas");
DEFINE_string(key, "", "key of the team that sends the load");
DEFINE_string(queue, "", "queue to which the load is sent");
DEFINE_int32(exchanges, 50'000, "exchanges of each kind for --mode=calls");
DEFINE_int32(lines, 100'000, "log lines for --mode=calls");
DEFINE_int32(threads, 16, "number of callers, each with one request at a time");
DEFINE_int32(run_ms, 5, "run time of each task in milliseconds");
DEFINE_int32(length_ms, 5000, "duration of each measurement in milliseconds");
// NOLINTEND(readability-identifier-naming)

namespace {

std::vector<Common::endpoint> readAddresses(const std::string& text)
{
    std::vector<Common::endpoint> addresses;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (const auto address = Common::parseEndpoint(item))
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
        .taskRunTime = Common::millis(FLAGS_run_ms),
        .duration = Common::millis(FLAGS_length_ms) };
    if (options.callers.empty() || options.workers.empty()) {
        std::cerr << "loft-bench: --callers and --workers must be lists of IP:PORT\n";
        return 2;
    }
    Bench::runLatency(options);
    return 0;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "loft-bench --mode=policy|slopes|leader|latency|calls|memory: measures performance; docs/MEASURES.md has the results");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return 1;
    if (FLAGS_mode == "latency")
        return runLatencyMode();
    if (FLAGS_mode == "slopes")
        Bench::runSlopes();
    else if (FLAGS_mode == "leader")
        Bench::runLeaderBench();
    else if (FLAGS_mode == "memory")
        Bench::runJobMemory();
    else if (FLAGS_mode == "calls")
        Bench::runCalls({ .exchanges = FLAGS_exchanges, .lines = FLAGS_lines });
    else
        Bench::runPolicyBench(FLAGS_seed);
    return 0;
}
