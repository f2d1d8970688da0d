#pragma once

#include "Fleet/Reducer.h"
#include "Limits/PermitWallet.h"
#include "Limits/TeamLedger.h"
#include "Pool/PoolDesk.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Virtual-time stand-ins around the real decision code, to measure the policy.
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
    /// Length of each queue's turn at five times its mean.
    Common::millis turn { 30'000 };
    Common::millis length { 300'000 };
    Common::millis meanRun { 400 };
    Common::millis deadline { 10'000 };
    std::vector<bench_team> teams;
    /// A data centre is out between these times; equal for never.
    Common::millis outFrom { 0 };
    Common::millis outUntil { 0 };
};

struct policy_result {
    /// Largest distance of a team's part of a full pool from its share, in per cent of the capacity,
    /// over any whole window of 30 s; and its mean.
    double worstShareError { 0 };
    double meanShareError { 0 };
    double answeredInTime { 0 };
    /// Work done while a data centre was out and coming back, as a part of what was left to do it with.
    double outWork { 0 };
    int limitViolations { 0 };
    double p99WaitMillis { 0 };
};

/// The project's way: one holder a pool, permits from ledgers, weighted shares.
policy_result runLedgerPolicy(const policy_options&);
/// Baseline: each instance has an even, fixed part of each limit, and starts what came first.
policy_result runEvenSplit(const policy_options&);

}
