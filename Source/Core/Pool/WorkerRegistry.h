#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Requests/WorkRequest.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pool {

/// A worker of the pool: its size by the instance list, and whether new tasks are allowed on it.
struct worker_info {
    Common::instance_id instance;
    Requests::resources capacity;
    Common::slot_count slots;
    /// Whether operators and the instance list allow new tasks on it.
    bool open { false };
};

/// Workers of one pool: free capacity, placement, and ejection of workers whose tasks keep failing.
class worker_registry {
public:
    /// Replaces the list of workers; the state of those that stay is kept.
    void setWorkers(const std::vector<worker_info>&);

    /// Takes a report from the worker. `foreign` is what tasks of others use there; `leaving` means that it takes no
    /// new tasks.
    void onReport(const Common::instance_id&, Requests::resources foreign, Common::slot_count foreignSlots, bool leaving);
    void onSilent(const Common::instance_id&);

    /// Returns the least loaded worker that has room for the task and isn't in `avoid`; empty if there is none. An
    /// ejected worker gets one idempotent task at a time as a probe, once its ejection time is over.
    std::optional<Common::instance_id> choose(const Requests::resources& needs, bool idempotent,
        const std::set<Common::instance_id>& avoid, Common::instant now) const;

    /// Whether the task would fit on any worker of the pool if that worker were empty.
    bool fitsAnyWorker(const Requests::resources& needs) const;

    void allocate(const Common::instance_id&, const Requests::resources&);
    void deallocate(const Common::instance_id&, const Requests::resources&);

    /// Records the result of a task: `failed` if the worker reported a failure or was lost with the task.
    void onResult(const Common::instance_id&, const std::string& job, bool failed, Common::instant now);

    /// Share of the worker that the task uses, in slots; at least one.
    double slotsTaken(const Common::instance_id&, const Requests::resources&) const;

    bool isEmpty(const Common::instance_id&) const;
    bool isEjected(const Common::instance_id&) const;
    std::size_t usableWorkers() const;

private:
    struct task_result {
        std::string job;
        bool failed { false };
    };
    struct worker {
        worker_info info;
        Requests::resources used;
        Common::slot_count usedSlots;
        Requests::resources foreign;
        Common::slot_count foreignSlots;
        bool reported { false };
        bool leaving { false };
        bool ejected { false };
        Common::instant probeAt;
        std::deque<task_result> results;
    };

    static bool isUsable(const worker&);
    static bool hasRoom(const worker&, const Requests::resources&);
    static bool isOutlier(const worker&);
    bool mayEject() const;

    std::map<Common::instance_id, worker> m_workers;
};

}
