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

/// Worker of the pool as the books, the instance list and its own reports have it.
struct worker_facts {
    Common::instance_id instance;
    Requests::resources capacity;
    Common::slot_count slots;
    /// Operators and the instance list allow new work.
    bool open { false };
};

/// Workers of one pool: what is free on each, and which of them fail what they start.
class worker_board {
public:
    /// Replaces the list of workers; what is known of those that stay is kept.
    void setWorkers(const std::vector<worker_facts>&);

    /// A report from the worker itself: what others run on it, and whether it is leaving.
    void onReport(const Common::instance_id&, Requests::resources foreign, Common::slot_count foreignSlots, bool leaving);
    void onSilent(const Common::instance_id&);

    /// Worker with the most room for the task, but none of `avoid`. Ejected workers get one idempotent
    /// task at a time once their pause is over.
    std::optional<Common::instance_id> choose(const Requests::resources& needs, bool idempotent,
        const std::set<Common::instance_id>& avoid, Common::instant now) const;

    /// Whether the task would fit on some worker of the pool if that worker was empty.
    bool everFits(const Requests::resources& needs) const;

    void occupy(const Common::instance_id&, const Requests::resources&);
    void vacate(const Common::instance_id&, const Requests::resources&);

    /// Result of a task: `failed` if the worker reported a failure or was lost with the task.
    void onResult(const Common::instance_id&, const std::string& job, bool failed, Common::instant now);

    /// Part of a worker that the task takes, in slots.
    double slotsTaken(const Common::instance_id&, const Requests::resources&) const;

    bool isEmpty(const Common::instance_id&) const;
    bool isEjected(const Common::instance_id&) const;
    std::size_t usableWorkers() const;

private:
    struct result_note {
        std::string job;
        bool failed { false };
    };
    struct worker {
        worker_facts facts;
        Requests::resources used;
        Common::slot_count usedSlots;
        Requests::resources foreign;
        Common::slot_count foreignSlots;
        bool reported { false };
        bool leaving { false };
        bool ejected { false };
        Common::instant probeAt;
        std::deque<result_note> results;
    };

    static bool isUsable(const worker&);
    static bool hasRoom(const worker&, const Requests::resources&);
    static bool failsEverything(const worker&);
    bool mayEject() const;

    std::map<Common::instance_id, worker> m_workers;
};

}
