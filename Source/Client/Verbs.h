#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <string>
#include <vector>

namespace Client {

/// Exit codes of the client.
enum class exit_code {
    Ok = 0,
    Rejected = 1,
    Usage = 2,
    NotReached = 3,
    /// The change is in the log, but not confirmed by everyone yet.
    Pending = 4,
    /// The answer was lost; ask again with the same id.
    Unknown = 5,
    NotRun = 6
};

struct client_options {
    Common::endpoint operators;
    Common::endpoint callers;
    /// Key of the operator or of the team.
    std::string key;
    /// Identifier of a change; a repeat with the same one does nothing twice.
    std::string id;
    std::string why;
    /// How long to follow a change until it is in force everywhere.
    Common::millis wait { 0 };
    bool asJson { false };
    /// Fields of a request for `submit`.
    std::string team;
    std::string payload;
    std::int64_t deadlineMillis { 0 };
    bool idempotent { false };
    bool queued { false };
    bool open { false };
    std::int64_t openLimit { 0 };
};

/// Text that `--help` shows.
std::string usageText();

/// Carries out one verb with its arguments. Output goes to standard output, faults to standard error.
exit_code runVerb(const client_options&, const std::vector<std::string>& words);

}
