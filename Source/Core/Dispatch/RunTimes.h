#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>

namespace Dispatch {

/// Run times of the tasks of each queue, learnt from their ends, since callers' estimates may be far off. A new leader learns
/// them anew; until then the estimates count.
class run_times {
public:
    /// A task that was estimated to run for `estimate` has ended as done after `actual`.
    void note(const Common::queue_id&, Common::millis estimate, Common::millis actual);
    /// Expected run time of a task with this estimate.
    Common::millis expected(const Common::queue_id&, Common::millis estimate) const;

private:
    struct queue_record {
        double mean { 0 };
        /// How far the estimates, and the mean, were off.
        double estimateError { 0 };
        double meanError { 0 };
        int count { 0 };
    };

    std::map<Common::queue_id, queue_record> m_queues;
};

}
