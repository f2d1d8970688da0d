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
    /// Of the pool's workers that get new work, without what long-running tasks take.
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
    /// Repeats the triage of the pool when the last one is too old.
    triage_changes update(const Common::pool_id&, const job_order&, const Rules::fleet_rules&, const overload_view&);
    start_sequence sequence(const Common::pool_id&, const job_order&) const;
    /// Whether jobs of the pool are postponed.
    bool isShort(const Common::pool_id&) const;
    /// Number of postponed jobs of the pool.
    std::size_t postponedIn(const Common::pool_id&) const;

private:
    struct pool_state {
        std::optional<Common::instant> doneAt;
        std::unordered_set<std::string> postponed;
    };

    static triage_changes replace(pool_state&, const std::vector<postponement>&);

    run_times m_runTimes;
    std::map<Common::pool_id, pool_state> m_pools;
};

}
