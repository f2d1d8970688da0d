#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <string>

namespace Requests {

/// Resources that a task needs on a worker, or that a worker has.
struct resources {
    Common::core_count cores { 1 };
    Common::megabytes memory { 0 };
    Common::accelerator_count accelerators { 0 };

    bool fitsIn(const resources& room) const
    {
        return cores <= room.cores && memory <= room.memory && accelerators <= room.accelerators;
    }
    friend bool operator==(const resources&, const resources&) = default;
};

/// Identity of a request. A request that isn't idempotent runs at most once under it.
struct work_identity {
    Common::queue_id queue;
    Common::team_id team;
    Common::request_id request;

    friend auto operator<=>(const work_identity&, const work_identity&) = default;
};

/// A validated request whose team is known.
struct work_request {
    work_identity identity;
    resources needs;
    bool idempotent { false };
    /// Time left until the deadline of the request.
    Common::millis remaining { 0 };
    std::string payload;
};

/// Request as received, before its API key is checked.
struct submission {
    work_request work;
    /// API key sent by the caller; empty for none. Never logged or stored.
    std::string key;
    /// Whether to acknowledge the request once it is queued durably, instead of waiting for the answer.
    bool queued { false };
};

}
