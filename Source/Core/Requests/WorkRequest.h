#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <string>

namespace Requests {

/// What a task needs on a worker.
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

/// Identity under which a request runs at most once if it isn't idempotent.
struct work_identity {
    Common::queue_id queue;
    Common::team_id team;
    Common::request_id request;

    friend auto operator<=>(const work_identity&, const work_identity&) = default;
};

/// Request of a caller, checked and attributed to a team.
struct work_request {
    work_identity identity;
    resources needs;
    bool idempotent { false };
    /// Time left until the answer is of no more use.
    Common::millis remaining { 0 };
    std::string payload;
};

/// Request as it arrives, before its key is checked.
struct submission {
    work_request work;
    /// Key as shown by the caller; empty for none. Never logged or stored.
    std::string key;
    /// Acknowledge once queued for good, instead of waiting for the answer.
    bool queued { false };
};

}
