#pragma once

#include "Rules/FleetRules.h"

#include <optional>
#include <string>
#include <string_view>

/// What callers ask of an entry instance, decided without sockets.
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
    /// Whole value of the header that carries the key; empty when there is none.
    std::string_view authorization;
};

struct caller_call {
    call_verb verb { call_verb::State };
    Rules::queue_rule queue;
    /// Empty for a count.
    Common::job_id job;
    /// Empty for a public queue without a known key.
    Common::team_id team;
};

/// Reads a call against the rules in force. Empty, with the reason, when it isn't to be served.
std::optional<caller_call> readCall(const Rules::fleet_rules*, const raw_call&, call_refusal& reason);

/// Status to answer a refusal with.
int statusOf(call_refusal);
const char* toText(call_refusal);

}
