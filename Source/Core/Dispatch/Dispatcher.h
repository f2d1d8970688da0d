#pragma once

#include "Dispatch/OpenJob.h"
#include "Dispatch/Placement.h"
#include "Dispatch/TeamUsage.h"

#include <set>
#include <unordered_map>

namespace Dispatch {

struct dispatcher_options {
    fencing_token token;
    /// Run numbers of this holder are higher; earlier holders used those up to it.
    run_number runBase;
    lease_options lease;
    /// Longest time in which a worker carries out a stop.
    Common::millis stopTime { 200 };
    /// Without a list of instances, the registered workers are taken for all after this time.
    Common::millis rosterPatience { 3000 };
};

struct dispatch_orders {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<hold_order> holds;
    std::vector<pace_order> paces;
};

/// Progress to be stored, and the ends of each worker that it covers.
struct commit_batch {
    std::vector<Jobs::job_progress> progress;
    std::map<Common::worker_id, end_number> covered;

    bool empty() const { return progress.empty() && covered.empty(); }
};

enum class dispatch_event_kind {
    Adopted,
    Started,
    StartRefused,
    StartUnsettled,
    StopOrdered,
    Ended,
    Vanished,
    Stalled,
    WorkerSilent,
    WorkerLapsed,
    WorkerReborn,
    WorkerDistrusted,
    JobOver,
    Fenced
};

/// A decision, or a fact that changes what the holder believes. For logs and counters.
struct dispatch_event {
    dispatch_event_kind kind;
    Jobs::task_name task;
    Common::worker_id worker;
    run_number run;
    std::optional<order_outcome> outcome;
    std::optional<end_kind> end;
    std::optional<Jobs::job_state> state;
};

class dispatch_observer {
public:
    virtual ~dispatch_observer() = default;
    virtual void observe(const dispatch_event&) = 0;
};

/// What a pool has, and what it is asked for.
struct pool_demand {
    /// Asked for by tasks that are ready and wait.
    Jobs::resources waiting;
    /// Asked for by tasks whose turn hasn't come.
    Jobs::resources later;
    /// Taken by tasks on workers, fillers aside.
    Jobs::resources running;
    /// All of the above for jobs that can't end on time any more; they stand in none of the others.
    Jobs::resources late;
};

/// How sure the holder is of its seat. Another holder can have taken over only after `confirmedUntil`; it leaves
/// alone what it can't see until the longest lease granted before then is over. So the holder may go on for that
/// time with what it knew by then, as long as no lease outlasts it.
struct seat_standing {
    bool isHeld { false };
    Common::instant confirmedUntil;
    /// The store has stopped answering.
    bool isInDoubt { false };

    bool isConfirmed(Common::instant now) const { return isHeld && now < confirmedUntil; }
};

/// Holder's decisions for the workers and jobs of its pools. Free of threads, sockets and clocks: replies
/// and times come in, orders come out.
class dispatcher {
public:
    dispatcher(const dispatcher_options&, Common::instant now, dispatch_observer&);

    void setRules(const Rules::fleet_rules&);
    void setEvacuated(std::set<Common::data_centre_id>);
    /// `seenAt` is when the register was first seen to have it.
    void workerListed(const worker_entry&, Common::instant seenAt, Common::instant now);
    void workerUnlisted(const Common::worker_id&);
    bool isEvacuated(const Common::data_centre_id& zone) const { return m_evacuated.contains(zone); }
    bool isCordoned(const Common::worker_id&) const;
    /// Workers that the instances run, with their pools, by a list whose reading began at `began`. A worker that
    /// isn't among them has ended; one that hasn't registered may still run what an earlier holder started.
    void setRoster(const std::map<Common::worker_id, Common::pool_id>&, Common::instant began, Common::instant now,
        Common::wall_millis wall);
    void setCordoned(const Common::worker_id&, bool);
    void addJob(const Jobs::job_record&, const Jobs::job_progress&, Common::instant now);
    void cancelJob(const Common::job_id&);

    dispatch_orders plan(Common::instant now, Common::wall_millis wall, const seat_standing&);
    void onStart(const start_order&, const order_reply&, Common::instant now);
    void onStop(const stop_order&, const order_reply&, Common::instant now);
    void onHold(const hold_order&, const hold_reply&, Common::instant sentAt, Common::instant now);
    void onPace(const pace_order&, const order_reply&);

    /// The holder before us gives no more orders, and the log has all its placements.
    void trustNotes() { m_isTrusted = true; }
    /// Whether the log has all placements, ours and those of earlier holders.
    bool isFullyNoted(Common::instant now) const;
    /// Whether starts wait for their placements to be stored.
    bool awaitsNotes() const { return !m_planned.empty(); }
    /// Progress that isn't stored yet. Each is handed out once.
    commit_batch takeCommit();
    void onCommitted(const commit_batch&, Common::instant now);

    /// Another holder has taken over; no order is to be sent any more.
    bool isFenced() const { return m_isFenced; }
    bool hasJob(const Common::job_id& id) const { return m_jobs.contains(id.value); }
    pool_demand demandOf(const Common::pool_id&, Common::wall_millis wall) const;
    const std::map<Common::worker_id, worker_state>& workers() const { return m_workers; }
    /// Stops the lasting tasks of a cordoned worker as far as disruption budgets allow.
    void vacate(const Common::worker_id&);

private:
    /// One start of a task on a worker.
    struct placement {
        Jobs::task_name task;
        Common::worker_id worker;
        run_number run;
    };

    open_job* findJob(const Common::job_id&);
    const Rules::queue_rule* queueOf(const open_job&) const;
    bool isPoolOpen(const Common::pool_id&, Common::instant now) const;
    /// Whether the worker may get new work.
    bool isOpen(const worker_state&, Common::instant now) const;
    std::vector<worker_state*> openWorkers(const Common::pool_id&, Common::instant now);
    /// Registered or not, the worker may run what an earlier holder started.
    worker_state& expectWorker(const Common::worker_id&, const Common::pool_id&, Common::instant now);
    std::vector<open_job*> jobsInOrder(const Common::pool_id&, Common::instant now, Common::wall_millis wall);

    void expire(Common::instant now, const seat_standing&);
    void planStarts(const Common::pool_id&, Common::instant now, Common::wall_millis wall);
    bool mayStart(const task_state&, Common::instant now) const;
    void planStep(open_job&, int occurrence, int step, const std::vector<worker_state*>&, Common::instant now);
    void planGang(open_job&, int occurrence, int step, const std::vector<worker_state*>&, Common::instant now);
    placement_request requestFor(open_job&, int occurrence, int step, std::map<Common::worker_id, int>& counts);
    static task_run runOf(
        const open_job&, const Jobs::task_name&, run_number, run_phase, Common::instant now);
    /// Takes the room; the start is sent once the log has the placement.
    void planStart(open_job&, const Jobs::task_name&, worker_state&, run_number, Common::instant now);
    void sendStarts(Common::instant now, dispatch_orders&);
    bool maySend(const placement&, Common::instant now);
    task_run* findRun(const placement&);
    task_run* findPlanned(const placement&);
    void dropUnsent(Common::instant now);
    void noteStored(const Jobs::job_progress&);
    /// Takes over a placement by an earlier holder, until its worker tells.
    void inherit(open_job&, const Jobs::task_progress&, Common::instant now);
    void planStops(Common::instant now, dispatch_orders&);
    void setGrant(Common::instant now, const seat_standing&);
    void planHolds(Common::instant now, dispatch_orders&);
    void planPaces(dispatch_orders&);

    task_run& addRun(worker_state&, const Jobs::task_name&, const task_run&);
    void dropRun(worker_state&, const Jobs::task_name&);
    /// Forgets the run and lets the task wait again.
    void releaseRun(worker_state&, Jobs::task_name, Common::instant notBefore);
    void orderStop(worker_state&, const Jobs::task_name&);
    void loseAllRuns(worker_state&, Common::instant now);
    /// Takes an answer's clock, fence and life. Null when the worker is gone or another life answered.
    worker_state* answering(const Common::worker_id&, const order_reply&, Common::instant now);
    void learn(worker_state&, const order_reply&, Common::instant now);
    bool checkLife(worker_state&, const order_reply&, Common::instant now);
    static bool isTooLate(const open_job&, Common::wall_millis wall);
    void distrust(worker_state&, Common::instant now, Common::millis time);
    void handleEnd(worker_state&, const listed_end&, Common::instant now);
    void handleDone(open_job&, const listed_end&);
    void handleFailure(open_job&, worker_state&, const listed_end&, Common::instant now);
    void reconcile(worker_state&, const hold_reply&, Common::instant sentAt, Common::instant now);
    void meetListedRun(worker_state&, const listed_run&, Common::instant now);
    void adopt(worker_state&, open_job&, const listed_run&);
    /// Whether the listed run is newer than a placement that an earlier holder noted on another worker.
    bool hasOvertaken(const Jobs::task_name&, const task_state&, const listed_run&) const;
    void markRunning(open_job&);
    void updateRun(worker_state&, const Jobs::task_name&, task_run&, const listed_run&, Common::instant now);
    void conclude(open_job&, Jobs::job_state);
    void stopRunsOf(const Common::job_id&);
    bool mayDisturb(open_job&, const Jobs::task_name&) const;
    void observe(const dispatch_event&);

    dispatcher_options m_options;
    Common::instant m_takenOverAt;
    dispatch_observer& m_observer;
    Rules::fleet_rules m_rules;
    std::set<Common::data_centre_id> m_evacuated;
    std::map<Common::worker_id, worker_state> m_workers;
    std::unordered_map<std::string, std::unique_ptr<open_job>> m_jobs;
    /// Jobs of which the log said nothing when they came here, so that no earlier holder can have begun them.
    std::set<std::string> m_untouched;
    /// Starts whose placements the log doesn't have yet.
    std::vector<placement> m_planned;
    team_usage m_usage;
    std::set<std::string> m_dirty;
    std::map<Common::worker_id, end_number> m_uncovered;
    std::map<Common::worker_id, end_number> m_toldEnd;
    /// The workers that an earlier holder may have given orders are known.
    bool m_isRosterKnown { false };
    bool m_isTrusted { false };
    /// What an order grants now; below `leastGrant` nothing is started and no lease extended.
    Common::millis m_grant;
    /// Jobs that came later aren't started now.
    Common::instant m_knownUntil;
    bool m_isConfirmed { false };
    /// No other holder has claimed the seat before this.
    Common::instant m_confirmedUntil;
    /// The store may not answer, so begun jobs go on without notes.
    bool m_isUnsure { true };
    bool m_isFenced { false };
};

}
