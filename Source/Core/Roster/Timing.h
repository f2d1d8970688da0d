#pragma once

#include "Common/Clock.h"

namespace Roster {

/// Time limits that all daemons of a deployment share.
struct timing {
    /// How long a daemon may go on after the start of its last renewal.
    Common::millis lease { 3500 };
    Common::millis renewEvery { 1250 };
    /// Added by observers before they call a lease lapsed, for clocks that run at different rates.
    Common::millis margin { 300 };
    /// Oldest view of the log with which work may start.
    Common::millis freshness { 3000 };
    /// Life of a promise not to back a removal.
    Common::millis promise { 2000 };
    /// Time without an answer from the log after which a daemon says that it lacks the log.
    Common::millis lackLogAfter { 1000 };
    /// Lease of a task on a worker.
    Common::millis taskLease { 2500 };
    /// Time that a new member stays before shards move to it.
    Common::millis settle { 2000 };
};

}
