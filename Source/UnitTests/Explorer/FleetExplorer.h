#pragma once

#include "Fleet/Reducer.h"
#include "Fleet/Replica.h"
#include "Limits/PermitWallet.h"
#include "Limits/TeamLedger.h"
#include "PlatformLog/GroupCommit.h"
#include "Roster/LeaseKeeper.h"
#include "Roster/PromiseBook.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Seeded exploration of how daemons act together: the real state machines, with messages, time, the
/// log and all failures in the hands of a random generator.
namespace Explorer {

struct explorer_options {
    std::uint64_t seed { 1 };
    int daemons { 4 };
    int steps { 2000 };
};

/// What a run ended with.
struct explorer_result {
    /// Empty if all invariants held.
    std::string violation;
    int steps { 0 };
    /// Last events before the violation.
    std::deque<std::string> trace;
    std::int64_t tasksStarted { 0 };
    std::int64_t removals { 0 };
    std::int64_t outageStarts { 0 };
};

explorer_result exploreFleet(const explorer_options&);

}
