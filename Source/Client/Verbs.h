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
    /// The change is in the log, but not all daemons have confirmed it yet.
    Pending = 4,
    /// The answer was lost; repeat the call with the same id.
    Unknown = 5,
    NotRun = 6
};

struct client_options {
    Common::endpoint operators;
    Common::endpoint callers;
    /// Key of the operator or of the team.
    std::string key;
    /// Identifier of a change, which is applied once however often it is sent.
    std::string id;
    std::string why;
    /// How long to wait until all daemons have confirmed a change.
    Common::millis wait { 0 };
    bool asJson { false };
    /// Fields of a request for `submit`.
    std::string team;
    std::string payload;
    std::int64_t deadlineMillis { 0 };
    bool idempotent { false };
    bool queued { false };
    /// Fields of `queue define`: whether it accepts requests without a key, and how many of those may run at once.
    bool open { false };
    std::int64_t openLimit { 0 };
};

/// Text that `--help` shows.
std::string usageText();

/// Runs one verb with its arguments. Results go to standard output, errors to standard error.
exit_code runVerb(const client_options&, const std::vector<std::string>& words);

}
