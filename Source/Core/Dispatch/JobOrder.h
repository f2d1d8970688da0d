#pragma once

#include "Dispatch/OpenJob.h"
#include "Dispatch/Placement.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dispatch {

/// Resources requested by a pool's tasks. Best-effort tasks don't count.
struct pool_demand {
    /// Of waiting tasks that are ready to start.
    Jobs::resources waiting;
    /// Of waiting tasks whose dependencies aren't done.
    Jobs::resources blocked;
    /// Of tasks that are placed on workers.
    Jobs::resources running;
    /// Of all tasks of jobs that can no longer meet their deadline; these aren't part of the other sums.
    Jobs::resources late;
    /// Workers that the jobs' steps need because of their limit of tasks for each worker, the largest of them. Late jobs
    /// don't count.
    int workersForSpread { 0 };
    /// Number of jobs whose tasks end by themselves.
    int shortJobs { 0 };

    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// Open jobs of a pool, and what they request. The cost of `refresh` depends on the number of jobs that have changed or
/// become late, not on the number of jobs.
class job_order {
public:
    job_order() = default;
    job_order(const job_order&) = delete;
    job_order& operator=(const job_order&) = delete;
    ~job_order();

    void insert(open_job&);
    void erase(open_job&);
    /// Applies the changes of jobs up to now; the other functions show the state of the last call.
    void refresh(Common::wall_millis now);

    /// Jobs with tasks that wait and are ready: those with long-running tasks first, then by priority, deadline and id.
    const std::vector<open_job*>& onTime() const { return m_onTime; }
    /// The same of jobs that can no longer meet their deadline.
    const std::vector<open_job*>& late() const { return m_late; }
    /// All jobs that aren't finished, in no particular order, and whether they are late.
    void visit(const std::function<void(open_job&, bool isLate)>&) const;
    const pool_demand& demand() const { return m_demand; }
    /// Requests of all tasks that wait and are ready, with the number of steps of each.
    const std::map<step_request, int>& readyRequests() const { return m_readyRequests; }

private:
    struct entry {
        job_summary summary;
        bool isLate { false };
        bool isStartable { false };
        bool isShort { false };
    };
    struct late_time {
        Common::wall_millis after;
        open_job* job { nullptr };

        friend auto operator<=>(const late_time&, const late_time&) = default;
    };

    void add(open_job&, entry&);
    void remove(open_job&, entry&);
    void addDemand(const entry&);
    void removeDemand(const entry&);

    std::unordered_map<open_job*, entry> m_entries;
    std::vector<open_job*> m_changed;
    std::vector<open_job*> m_onTime;
    std::vector<open_job*> m_late;
    /// When each job that isn't late becomes late.
    std::set<late_time> m_lateTimes;
    std::map<step_request, int> m_readyRequests;
    pool_demand m_demand;
    /// Numbers of workers that jobs need for the limits of their steps, with the number of jobs of each.
    std::map<int, int> m_spreads;
    Common::wall_millis m_now;
};

}
