#pragma once

#include "Dispatch/JobOrder.h"
#include "Dispatch/OverloadTriage.h"
#include "Dispatch/RunTimes.h"
#include "Rules/FleetRules.h"

#include <unordered_set>

namespace Dispatch {

/// The jobs of a pool in the order in which they are started while the pool is short.
struct start_sequence {
    std::vector<open_job*> first;
    std::vector<open_job*> postponed;
};

/// What decided that a job is postponed.
struct postponement {
    Common::job_id job;
    Common::team_id team;
    int priority { 0 };
    Common::millis dueIn { 0 };
    /// Expected work that is left, and what the pool's workers offer.
    processor_work left;
    Common::millicores capacity;
};

/// What has changed since the last triage of a pool.
struct triage_changes {
    std::vector<postponement> postponed;
    std::vector<Common::job_id> resumed;
};

/// What the triage of a pool starts from.
struct overload_view {
    /// Of the pool's workers that get new work, and what jobs use on the others; without what long-running tasks take.
    Common::millicores capacity;
    /// The part of it that nothing uses.
    Common::millicores free;
    Common::instant now;
    Common::wall_millis wall;
};

/// Applies the triage to the jobs of each pool while it is short.
class overload_planner {
public:
    void noteEnd(const Common::queue_id& queue, Common::millis estimate, Common::millis actual)
    {
        m_runTimes.note(queue, estimate, actual);
    }
    /// Whether the pool's last triage is too old, and the operators state how a full pool is shared.
    bool isDue(const Common::pool_id&, const Rules::fleet_rules&, Common::instant now) const;
    triage_changes update(const Common::pool_id&, const job_order&, const Rules::fleet_rules&, const overload_view&);
    /// Whether jobs of the pool are postponed.
    bool isShort(const Common::pool_id&) const;
    /// The pool's jobs that can be on time, while it is short.
    start_sequence sequence(const Common::pool_id&, const job_order&) const;

private:
    struct pool_state {
        std::optional<Common::instant> doneAt;
        std::unordered_set<std::string> postponed;
    };

    static triage_changes replace(
        pool_state&, const std::vector<postponement>&, const std::vector<open_job*>& candidates);

    run_times m_runTimes;
    std::map<Common::pool_id, pool_state> m_pools;
};

}
