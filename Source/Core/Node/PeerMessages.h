#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Limits/Permits.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"
#include "Roster/PromiseBook.h"

#include <optional>
#include <string>
#include <vector>

/// Messages between daemons.
namespace Node {

/// Answer of a member that was asked for a promise or a backing.
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

/// A request on its way from the daemon that received it to the holder of its pool.
struct forwarded_request {
    Requests::work_request request;
    /// Digest of the key that came with it; empty for an open queue.
    Common::key_hash key;
    /// Unique to this forwarding, so that it can be voided if it arrives late.
    std::string forwardId;
    Common::shard_epoch epoch;
};

/// Asks the holder what became of a forwarded request; the forwarding is void from then on.
struct settle_query {
    Requests::work_identity identity;
    std::string forwardId;
    Common::millis remaining { 0 };
};

/// Asks on for a forwarded request that the holder said it still holds.
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
