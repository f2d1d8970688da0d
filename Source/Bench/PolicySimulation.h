#pragma once

#include "Fleet/Reducer.h"
#include "Limits/PermitCache.h"
#include "Limits/TeamLedger.h"
#include "Pool/PoolScheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Simulates policies in virtual time, with the real decision code, to measure them.
namespace Bench {

struct bench_team {
    std::string name;
    int share { 0 };
    int upperLimit { 0 };
};

struct policy_options {
    std::uint64_t seed { 1 };
    int pools { 5 };
    int workersPerPool { 10 };
    int slots { 8 };
    int instances { 9 };
    /// The queues take turns to send five times their mean load, each for this time.
    Common::millis burstLength { 30'000 };
    Common::millis length { 300'000 };
    Common::millis meanRun { 400 };
    Common::millis deadline { 10'000 };
    std::vector<bench_team> teams;
    /// A data centre is out of service between these times; never if they are equal.
    Common::millis outageStart { 0 };
    Common::millis outageEnd { 0 };
};

struct policy_result {
    /// Difference between a team's part of a pool and its share, in per cent of the pool's capacity: the largest, and
    /// the mean over all windows. A window is 27.5 s in which all teams wait and all data centres are in service.
    double worstShareError { 0 };
    double meanShareError { 0 };
    /// Per cent of the requests.
    double answeredInTime { 0 };
    /// Slots used while a data centre was out of service and in the 10 s after, in per cent of the slots left. Counts
    /// the pools in which all teams wait.
    double outageThroughput { 0 };
    int limitViolations { 0 };
    double p99WaitMillis { 0 };
};

/// The project's policy: one holder per pool, permits from ledgers, weighted shares.
policy_result runLedgerPolicy(const policy_options&);
/// Baseline: each instance has an even, fixed part of each limit and starts requests in order of arrival.
policy_result runEvenSplit(const policy_options&);

}
