#pragma once

#include "Dispatch/Orders.h"

#include <map>

namespace Dispatch {

enum class run_phase {
    /// The start isn't sent before the log has the placement.
    Planned,
    /// An earlier holder placed it there; the worker hasn't been asked yet.
    Inherited,
    /// The start was sent and has no answer yet.
    Starting,
    Running,
    /// To be stopped: until the worker says it has ended, it counts as running.
    Stopping
};

/// One start of a task on a worker, until its end is known.
struct task_run {
    run_number run;
    run_phase phase { run_phase::Starting };
    Jobs::resources request;
    Common::team_id team;
    bool isLasting { false };
    bool isFiller { false };
    /// The log has the placement.
    bool isNoted { false };
    /// A start may have reached the worker.
    bool isSent { true };
    Common::instant startedAt;
    /// Last stop order, and whether the worker took it.
    std::optional<Common::instant> stopSentAt;
    std::optional<Common::instant> stopTakenAt;
    bool isStopOpen { false };
    int percent { 0 };
    Common::instant progressedAt;
    std::int64_t load { 0 };
    int pace { 100 };
};

/// What the holder knows of one life of a worker.
class worker_state {
public:
    explicit worker_state(worker_entry);

    worker_entry entry;
    /// In the register now; one that isn't gets no new work.
    bool isListed { true };
    /// Has answered under our token, so that nothing of an earlier holder can start there any more.
    bool isInventoried { false };
    /// Our orders leave it alone, since its instance is about to be moved or maintained.
    bool isCordoned { false };
    bool isHoldOpen { false };
    Common::instant firstSeenAt;
    Common::instant nextHold;
    Common::instant distrustedUntil;
    /// Nothing that we, or a holder before us, ordered there runs after this.
    Common::instant lapseBound;
    /// Last end that was read, and last that stands in the log.
    end_number seenEnd;
    end_number notedEnd;
    /// Failed tasks since the last one that ended well.
    int failuresInRow { 0 };
    int holdsWithoutAnswer { 0 };
    std::map<Jobs::task_name, task_run> runs;

    void learnClock(worker_millis, Common::instant receivedAt);
    bool knowsClock() const { return m_clock.has_value(); }
    /// The worker's clock at `now`; it may run up to `maxClockSlowness` slower than ours.
    worker_millis clockAt(Common::instant now) const;
    /// Deadline for an order that grants `lease` from `now`; also moves `lapseBound`.
    worker_millis grant(Common::instant now, Common::millis lease);
    /// Forgets all of an earlier life.
    void beginLife(worker_entry);

    Jobs::resources used() const { return m_used; }
    Jobs::resources free() const;
    /// Processor that fillers may use: capacity less what others asked for.
    Common::millicores leftOver() const;
    task_run& addRun(const Jobs::task_name&, const task_run&);
    void removeRun(const Jobs::task_name&);
    /// Whether a task that lasts, or one that fills beside such tasks, runs here.
    bool hasLastingRuns() const;

private:
    struct clock_reading {
        worker_millis clock;
        Common::instant at;
    };

    /// What a run takes from the worker's capacity; fillers take no processor.
    static Jobs::resources charge(const task_run&);

    std::optional<clock_reading> m_clock;
    Jobs::resources m_used;
};

/// Bounds and pauses of a holder's dealings with workers.
struct lease_options {
    /// Time that each order or look grants to what runs on a worker.
    Common::millis lease { 3000 };
    /// Granted while the store doesn't answer, so that work outlasts an outage. A new holder reckons with it.
    Common::millis longestLease { 9500 };
    /// A shorter grant isn't worth a start.
    Common::millis leastGrant { 1500 };
};

}
