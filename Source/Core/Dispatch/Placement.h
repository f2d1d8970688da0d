#pragma once

#include "Dispatch/WorkerState.h"

#include <vector>

namespace Dispatch {

/// Constraints and preferences for placing one task.
struct placement_request {
    const Jobs::step_spec* step { nullptr };
    /// Worker to avoid while others are eligible; empty for none.
    Common::worker_id avoided;
    /// Rack on which other tasks of a rack-sensitive step run; empty when there are none.
    Common::rack_id rack;
    /// Number of the step's tasks on each worker, for the limit per worker.
    const std::map<Common::worker_id, int>* onWorker { nullptr };
};

/// Best worker for the task among `workers`, all schedulable and of the task's pool. Null when none fits.
/// `examined` is increased by the number of workers that were compared with the request.
worker_state* chooseWorker(
    const std::vector<worker_state*>& workers, const placement_request&, std::int64_t& examined);

/// Whether the worker could run the step if it were empty.
bool isEligible(const worker_state&, const Jobs::step_spec&);

}
