#pragma once

#include "Common/Clock.h"

namespace Membership {

/// Timeouts and intervals. All daemons of a deployment must use the same values.
struct timing {
    /// Validity of a daemon's lease, from the start of its last renewal.
    Common::millis lease { 3500 };
    Common::millis renewEvery { 1250 };
    /// Added by observers before they treat a lease as expired, as clocks run at different rates.
    Common::millis margin { 300 };
    /// Maximum age of the view of the log with which work may start.
    Common::millis freshness { 3000 };
    /// Validity of a promise not to vote for a removal.
    Common::millis promise { 2000 };
    /// Time without an answer from the log after which a daemon treats the log as unavailable.
    Common::millis logUnavailableAfter { 1000 };
    /// Lease of a task on a worker.
    Common::millis taskLease { 2500 };
    /// Time for which a new member has to stay before shards move to it.
    Common::millis settle { 2000 };
};

}
