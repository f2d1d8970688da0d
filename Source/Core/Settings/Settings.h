#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Ids.h"
#include "Common/Logging.h"
#include "Fleet/Commands.h"
#include "Membership/Timing.h"

#include <optional>
#include <string>
#include <vector>

/// Settings of the daemon, read from TOML and validated together.
namespace Settings {

/// Operator who may make changes and authenticates with a key.
struct operator_account {
    std::string name;
    Fleet::operator_role role { Fleet::operator_role::OperationsLead };
    Common::key_hash key;
};

struct daemon_settings {
    std::string instance;
    Common::data_centre_id dataCentre;
    Common::endpoint callers;
    Common::endpoint peers;
    Common::endpoint operators;
    Common::endpoint platformLog;
    Common::endpoint instanceList;
    Membership::timing timing;
    /// Timeout of one call to the platform, a peer or a worker.
    Common::millis callTimeout { 1000 };
    /// Time between reporting not ready and rejecting work at a planned stop, for load balancers to notice.
    Common::millis balancerGrace { 1000 };
    /// Longest time that a planned stop waits for running work.
    Common::millis stopTimeout { 60'000 };
    std::size_t callerThreads { 192 };
    std::size_t peerThreads { 192 };
    std::size_t maxWaitingPerTeam { 1000 };
    /// Number of log records between two snapshots of the state.
    std::int64_t snapshotEvery { 2000 };
    Common::log_level logLevel { Common::log_level::Info };
    std::vector<operator_account> operatorAccounts;
};

enum class fault_kind {
    Syntax,
    UnknownKey,
    Missing,
    WrongType,
    OutOfRange,
    Malformed,
    Contradiction
};

/// An error in a settings file.
struct settings_fault {
    fault_kind kind { fault_kind::Syntax };
    /// Full name of the key, with dots.
    std::string key;
    /// Line in the file, counted from 1; 0 when the key is missing.
    int line { 0 };
    /// Description of a valid value.
    std::string expected;
};

std::string_view toText(fault_kind);

/// Parses TOML text. Empty when there is any error; `lastReasons` then has all of them.
std::optional<daemon_settings> parseSettings(std::string_view text, std::vector<settings_fault>& lastReasons);

}
