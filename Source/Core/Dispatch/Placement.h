#pragma once

#include "Dispatch/WorkerState.h"

#include <memory>
#include <set>
#include <vector>

namespace Dispatch {

/// Constraints and preferences for placing one task.
struct placement_request {
    const Jobs::step_spec* step { nullptr };
    /// Worker to avoid while others are eligible; empty for none.
    Common::worker_id avoided;
    /// Rack on which other tasks of a rack-sensitive step run; empty when there are none.
    Common::rack_id rack;
    Common::job_id job;
    /// A task of the job may crash the workers that start it.
    bool isSuspect { false };
    Common::instant now;
    /// Number of the step's tasks on each worker, for the limit per worker.
    const std::map<Common::worker_id, int>* onWorker { nullptr };
    /// Workers that may not run the task.
    std::set<Common::worker_id> excluded;
};

/// What a task of a step needs of a worker; best-effort tasks need no processor.
struct step_request {
    Jobs::resources amount;
    /// Empty for none.
    std::string requiredLabel;

    friend auto operator<=>(const step_request&, const step_request&) = default;
};

step_request requestOf(const Jobs::step_spec&);

/// The schedulable workers of a pool during one planning pass, in order of their free processor. Remembers which
/// requests found no worker, so that a full pool isn't searched again for each waiting task.
class placement_index {
public:
    /// `workers` are sorted by id.
    explicit placement_index(const std::vector<worker_state*>& workers);

    /// Best worker for the task. Null when none fits.
    worker_state* choose(const placement_request&);
    /// The worker with the fewest runs among those with room, to be put on probation for a suspected job. Null when there
    /// is none.
    worker_state* chooseForProbation(const placement_request&);
    /// To be called after the chosen worker's runs have changed.
    void update(const worker_state&);
    /// Whether an earlier request showed that no worker has room for a task of the step.
    bool isRuledOut(const step_request& request) const { return isRuledOut(request.amount, request.requiredLabel); }
    bool isRuledOut(const Jobs::step_spec&) const;
    /// Whether a worker has room for a task with the request.
    bool hasRoomFor(const step_request&);
    /// Increases when further requests are ruled out.
    int ruledOutCount() const { return m_ruledOutCount; }

    /// Places a task on a copy of the worker, until `endTrial`.
    void tryRun(const worker_state&, const Jobs::task_name&, const task_run&);
    void endTrial();

    std::int64_t workersExamined() const { return m_workersExamined; }

private:
    struct slot {
        worker_state* worker { nullptr };
        Jobs::resources free;
        /// The worker with the runs of the present trial; null when it has none.
        std::unique_ptr<worker_state> trial;

        const worker_state& current() const { return trial ? *trial : *worker; }
    };
    /// Position in the order: by free processor, then by id.
    struct order_key {
        std::int64_t processor { 0 };
        std::size_t slot { 0 };

        friend auto operator<=>(const order_key&, const order_key&) = default;
    };
    struct slot_rank;

    std::size_t slotOf(const worker_state&) const;
    slot_rank rankOf(std::size_t slot, const placement_request&) const;
    bool isWithinLimit(const slot&, const placement_request&) const;
    /// Updates the order after the slot's free resources have changed.
    void reorder(std::size_t slot);
    static bool mayRun(const slot&, const step_request&);
    /// Position of the first worker with enough free processor.
    std::vector<order_key>::const_iterator firstWith(Common::millicores) const;
    bool isRuledOut(const Jobs::resources&, const std::string& requiredLabel) const;
    void ruleOut(const step_request&);

    std::vector<slot> m_slots;
    std::vector<order_key> m_order;
    /// Requests that no worker has room for; requests of as much or more have none either.
    std::vector<step_request> m_ruledOut;
    int m_ruledOutCount { 0 };
    std::vector<std::size_t> m_trialSlots;
    std::int64_t m_workersExamined { 0 };
};

}
