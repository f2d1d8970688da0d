#pragma once

#include "Rules/FleetRules.h"

#include <optional>
#include <string>
#include <string_view>

/// Parses and authorises calls of the job API. Free of sockets.
namespace Entry {

enum class call_verb {
    Submit,
    State,
    Cancel,
    CountWaiting
};

/// Why a call isn't served.
enum class call_refusal {
    None,
    NoRules,
    NoSuchQueue,
    UnknownKey,
    BadIdentifier,
    WrongMethod
};

struct raw_call {
    std::string_view method;
    std::string_view host;
    std::string_view target;
    /// Value of the Authorization header, scheme included; empty when there is none.
    std::string_view authorization;
};

struct api_call {
    call_verb verb { call_verb::State };
    Rules::queue_rule queue;
    /// Empty for `CountWaiting`.
    Common::caller_job_id job;
    /// Empty for a call to a public queue without a known key.
    Common::team_id team;
};

/// Finds the queue, job and team of a call by the rules. Empty, with the reason, when the call is refused.
std::optional<api_call> readCall(const Rules::fleet_rules*, const raw_call&, call_refusal& reason);

/// HTTP status that answers a refused call.
int statusOf(call_refusal);
const char* toText(call_refusal);

}
