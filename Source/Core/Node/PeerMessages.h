#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Limits/Permits.h"
#include "Membership/MembershipVoter.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"

#include <optional>
#include <string>
#include <vector>

/// Messages between daemons.
namespace Node {

/// Answer of a member to a request for a promise or a vote.
struct vote_reply {
    Common::process_id process;
    bool given { false };
};

struct permit_exchange {
    std::vector<Limits::permit_report> reports;
};

struct permit_exchange_reply {
    std::vector<Limits::permit_grant> grants;
};

/// A request as forwarded by the daemon that received it to the holder of its pool.
struct forwarded_request {
    Requests::work_request request;
    /// Digest of the caller's key; empty for an open queue.
    Common::key_hash key;
    /// Unique to this forwarding, so that it can be voided and is refused if it arrives later.
    std::string forwardId;
    Common::shard_epoch epoch;
};

/// Asks the holder for the outcome of a forwarded request and voids the forwarding.
struct settle_query {
    Requests::work_identity identity;
    std::string forwardId;
    Common::millis remaining { 0 };
};

/// Polls for the outcome of a forwarded request that the holder answered with `StillWaiting`.
struct await_query {
    std::string forwardId;
};

struct cancel_reply {
    bool certainlyNotRun { false };
};

struct view_reply {
    Common::process_id process;
    Common::log_offset applied;
};

}
