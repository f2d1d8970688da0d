#pragma once

#include "Fleet/Reducer.h"
#include "Fleet/Replica.h"
#include "Limits/PermitCache.h"
#include "Limits/TeamLedger.h"
#include "Membership/LeaseTracker.h"
#include "Membership/MembershipVoter.h"
#include "PlatformLog/GroupCommit.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Randomised simulation of several daemons: the real state machines, while a seeded generator controls messages,
/// time, the log and all failures.
namespace Explorer {

struct explorer_options {
    std::uint64_t seed { 1 };
    int daemons { 4 };
    int steps { 2000 };
};

struct explorer_result {
    /// Empty if all invariants held.
    std::string violation;
    int steps { 0 };
    /// Last events, oldest first.
    std::deque<std::string> trace;
    std::int64_t tasksStarted { 0 };
    /// Votes started to remove a member.
    std::int64_t removals { 0 };
    /// Tasks started while the log was down.
    std::int64_t outageStarts { 0 };
};

explorer_result exploreFleet(const explorer_options&);

}
