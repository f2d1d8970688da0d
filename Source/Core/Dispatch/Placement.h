#pragma once

#include "Dispatch/WorkerState.h"

#include <vector>

namespace Dispatch {

/// A task that looks for a worker.
struct placement_request {
    const Jobs::step_spec* step { nullptr };
    /// Worker to avoid while there are others; empty for none.
    Common::worker_id avoided;
    /// Rack on which others of a rack-sensitive step run; empty when there are none.
    Common::rack_id rack;
    /// Tasks of the step on each worker, for the bound on spreading.
    const std::map<Common::worker_id, int>* onWorker { nullptr };
};

/// Best worker for the task among `workers`, all of its pool and open for work. Null when none fits.
worker_state* chooseWorker(const std::vector<worker_state*>& workers, const placement_request&);

/// Whether the worker may run the step at all, however full it is.
bool isEligible(const worker_state&, const Jobs::step_spec&);

}
