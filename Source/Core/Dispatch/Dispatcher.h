#pragma once

#include "Dispatch/DispatchEvents.h"
#include "Dispatch/JobOrder.h"
#include "Dispatch/Namesakes.h"
#include "Dispatch/OpenJob.h"
#include "Dispatch/OverloadPlanner.h"
#include "Dispatch/Placement.h"
#include "Dispatch/TeamUsage.h"

#include <limits>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace Dispatch {

struct dispatcher_options {
    fencing_token token;
    /// Earlier leaders used run numbers up to this one; this leader's are higher.
    run_number runBase;
    lease_options lease;
    worker_bounds bounds;
    /// No more tasks are placed at a time, up to a gang more; a single pool gets half of what the others leave.
    int maxPlacedTasks { std::numeric_limits<int>::max() };
};

struct dispatch_orders {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<poll_order> polls;
    std::vector<pace_order> paces;
};

/// Ends of one incarnation of a worker, up to a number. Each incarnation counts its ends anew.
struct covered_ends {
    Common::wall_millis incarnationStartedAt;
    end_number last;
};

/// Progress to be stored, and for each worker the ends that it includes.
struct commit_batch {
    std::vector<Jobs::job_progress> progress;
    std::map<Common::worker_id, covered_ends> coveredEnds;

    bool empty() const { return progress.empty() && coveredEnds.empty(); }
};

/// Work of the last planning pass, counted so that tests can bound it.
struct plan_statistics {
    /// Workers whose resources were compared with a request.
    std::int64_t workersExamined { 0 };
    /// Jobs that were looked at for tasks to start.
    std::int64_t jobsExamined { 0 };
};

/// Work that hasn't been ordered yet, and how recent the workers' reports are.
struct dispatch_backlog {
    /// Planned starts that haven't been sent.
    int startsWaiting { 0 };
    /// Tasks that are ready to start and placed nowhere.
    int tasksWaiting { 0 };
    /// Age of the oldest report among workers on which tasks run.
    Common::millis oldestReport { 0 };
};

struct start_limits {
    /// How many starts may be sent.
    int room { std::numeric_limits<int>::max() };
    /// No more starts are planned in a pool while this many haven't been sent.
    int plannedPerPool { std::numeric_limits<int>::max() };
};

/// How long the leadership is confirmed. Another leader can take over only after `confirmedUntil`. Before it restarts
/// tasks that it can't see, it waits until the longest lease that may have been granted by then has expired. Until that
/// time this leader may go on with what it knew at `confirmedUntil`, provided that no lease it grants ends later.
struct leadership_status {
    bool isHeld { false };
    Common::instant confirmedUntil;
    /// The store has stopped answering, or answers slowly.
    bool isStoreUnresponsive { false };

    bool isConfirmed(Common::instant now) const { return isHeld && now < confirmedUntil; }
};

/// Schedules the jobs of the leader's pools on their workers. Uses no threads, sockets or clocks: callers pass replies
/// and times in and send the returned orders.
class dispatcher {
public:
    dispatcher(const dispatcher_options&, Common::instant now, dispatch_observer&);

    void setRules(const Rules::fleet_rules&);
    void setEvacuated(std::set<Common::data_centre_id>);
    /// `seenAt` is when the registration was first seen.
    void workerRegistered(const worker_entry&, Common::instant seenAt, Common::instant now);
    void workerUnregistered(const Common::worker_id&);
    bool isEvacuated(const Common::data_centre_id& zone) const { return m_evacuated.contains(zone); }
    bool isCordoned(const Common::worker_id&) const;
    /// Workers that run on the instances, with their pools, from a list requested at `began`. A worker that isn't in it
    /// has ended; one that is in it but not registered may still run tasks that an earlier leader started.
    void setInstanceWorkers(const std::map<Common::worker_id, Common::pool_id>&, Common::instant began,
        Common::instant now, Common::wall_millis wall);
    void setCordoned(const Common::worker_id&, bool);
    /// `highestTakenLane` is the highest lane of run numbers that the log shows for other jobs with the same identifier of the
    /// caller; -1 for none.
    void addJob(const Jobs::job_record&, const Jobs::job_progress&, Common::instant now, int highestTakenLane = -1);
    /// A further part of the progress of a job that was just added.
    void addProgress(const Jobs::job_progress&, Common::instant now);
    void cancelJob(const Common::job_id&);

    /// How many starts the next plan may send. The others stay planned, and a gang is sent completely or not at all.
    void limitStarts(const start_limits& limits) { m_startLimits = limits; }
    dispatch_orders plan(Common::instant now, Common::wall_millis wall, const leadership_status&);
    void onStart(const start_order&, const order_reply&, Common::instant now);
    void onStop(const stop_order&, const order_reply&, Common::instant now);
    void onPollReply(const poll_order&, const poll_order_reply&, Common::instant sentAt, Common::instant now);
    void onPace(const pace_order&, const order_reply&);

    /// To be called once the previous leader sends no more orders and the log has all its placements.
    void setLogComplete() { m_isLogComplete = true; }
    /// Whether no worker can run anything unnoticed that an earlier leader started, and the log may lack.
    bool knowsAllPlacements(Common::instant now) const;
    /// Whether the log has all placements, ours and those of earlier leaders, as far as they still run.
    bool areAllPlacementsLogged(Common::instant now) const;
    /// Whether any start waits for its placement to be stored.
    bool awaitsPlacementLog() const { return !m_pendingStarts.empty(); }
    /// Progress to be stored. Each change is returned once.
    commit_batch takeCommit();
    void onCommitted(const commit_batch&, Common::instant now);

    /// Whether another leader has taken over, so that no more orders may be sent.
    bool isFenced() const { return m_isFenced; }
    bool hasJob(const Common::job_id& id) const { return m_jobs.contains(id.value); }
    /// Null when the job isn't open.
    const Jobs::job_record* recordOf(const Common::job_id&) const;
    pool_demand demandOf(const Common::pool_id&, Common::wall_millis wall);
    dispatch_backlog backlog(Common::instant now) const;
    const std::map<Common::worker_id, worker_state>& workers() const { return m_workers; }
    const plan_statistics& lastPlan() const { return m_lastPlan; }
    /// Stops long-running tasks of a cordoned worker, and best-effort ones, as far as disruption budgets allow.
    void evictLongRunning(const Common::worker_id&);

private:
    /// A run of a task on a worker.
    struct placement {
        Jobs::task_name task;
        Common::worker_id worker;
        run_number run;
    };

    /// A run that was lost with its worker.
    struct lost_run {
        Jobs::task_name task;
        run_number run;
        /// The worker has confirmed that the task began.
        bool hasBegun { false };
        /// Empty when an earlier leader started it.
        std::optional<Common::instant> startedAt;
        /// A call to the worker failed just after the start.
        bool hadJustStarted { false };
        /// The same, or the worker hadn't reported since that the task was running for longer.
        bool isRecent { false };
    };

    /// Runs that were lost together. Whether the worker crashed shows who answers next at its address.
    struct worker_loss {
        worker_incarnation incarnation;
        Common::endpoint address;
        Common::instant lostAt;
        std::vector<lost_run> runs;
        /// The suspected job for which the worker was on probation when it crashed.
        std::optional<Common::job_id> onlySuspect;
        /// Other workers of the rack stopped answering at the same time.
        bool hasCommonCause { false };
    };

    /// One planning pass of a pool.
    struct pool_pass {
        const job_order& jobs;
        placement_index& workers;
        bool isReconciled { false };
        Common::instant now;
        /// No further job is looked at once this many starts haven't been sent.
        std::size_t pendingLimitOfJobs { 0 };
        /// No start is planned once this many haven't been sent, except to complete a gang.
        std::size_t pendingLimit { 0 };
        /// Workers on probation, and how many may be at once.
        std::size_t& probations;
        std::size_t maxProbations { 0 };
    };

    open_job* findJob(const Common::job_id&);
    const Rules::queue_rule* queueOf(const open_job&) const;
    /// Whether nothing that an earlier leader started in the pool can still be running unnoticed.
    bool isPoolReconciled(const Common::pool_id&, Common::instant now) const;
    /// The same of one worker.
    bool isReconciled(const worker_state&, Common::instant now) const;
    /// The last instant, `now` at the latest, at which no other leader can have taken over.
    Common::instant undisputedUntil(Common::instant now) const;
    /// Whether the worker's incarnation was known when no other leader can have taken over.
    bool predatesDispute(const worker_state&) const;
    /// Logs which workers have become reconciled, or no longer are.
    void noteReconciliations(Common::instant now);
    /// Time since another leader may have taken over; empty while no other leader can have taken over.
    std::optional<Common::millis> disputedFor(Common::instant now) const;
    /// Whether all workers to which an earlier leader may have sent orders are known.
    bool areWorkersKnown(Common::instant now) const;
    /// Whether the worker may get new work.
    bool isSchedulable(const worker_state&, Common::instant now) const;
    std::vector<worker_state*> schedulableWorkers(const Common::pool_id&, Common::instant now) const;
    void updateRegistration(worker_state&, const worker_entry&, Common::instant now);
    void indexWorker(worker_state&);
    /// To be called before the worker's pool changes.
    void unindexWorker(worker_state&);
    /// All workers of the pool, in order of their ids.
    const std::vector<worker_state*>& workersOf(const Common::pool_id&) const;
    void indexJob(open_job&);
    void inheritAll(open_job&, const Jobs::job_progress&, Common::instant now);
    void removeJob(const Common::job_id&);
    /// Finds or creates the state of a worker that may run tasks of an earlier leader, registered or not.
    worker_state& expectWorker(const Common::worker_id&, const Common::pool_id&, Common::instant now);
    /// Whether the next leader will know where the job's tasks may be running.
    bool mayGoOn(const open_job&, Common::instant now) const;
    /// Whether a worker has room for any of the tasks that wait and are ready.
    static bool hasRoom(const pool_pass&);
    /// Starts tasks of jobs that can be on time; the same result as `planJobs`.
    bool planOnTime(const Common::pool_id&, const pool_pass&, Common::wall_millis wall);
    overload_view overloadOf(const Common::pool_id&, Common::instant now) const;
    /// False when no waiting task fits any more.
    bool planJobs(const std::vector<open_job*>&, const pool_pass&);

    void expireLeases(Common::instant now, const leadership_status&);
    int plannedIn(const Common::pool_id&) const;
    /// How many more tasks may be placed in the pool.
    int placementsLeft(const Common::pool_id&) const;
    void planStarts(const Common::pool_id&, Common::instant now, Common::wall_millis wall);
    bool mayStart(const task_state&, Common::instant now) const;
    /// Whether a suspected job may have another worker on probation.
    static bool mayBeginProbation(const open_job&, const pool_pass&);
    /// A suspected job that has waited too long starts beside others.
    static bool isOverdue(const open_job&, Common::instant now);
    /// Whether the pool has few enough workers on probation for the suspected job to start on this one.
    static bool mayUseForSuspect(const worker_state*, const open_job&, const pool_pass&);
    static void reserveForProbation(const placement_request&, open_job&, const pool_pass&);
    /// Workers with runs of other jobs that have the same identifier of the caller. A worker knows tasks by that, so it gets no
    /// run of this job meanwhile.
    std::set<Common::worker_id> workersOfNamesakes(const open_job&) const;
    /// Names the job that the task belongs to by the run's number; without an open job of that lane, the caller's identifier
    /// alone remains.
    Jobs::task_name identify(const Jobs::task_name&, run_number) const;
    poll_order_reply identifyAll(poll_order_reply) const;
    /// A worker has seen higher run numbers of another job with the same identifier of the caller: the job's next runs get
    /// higher ones.
    void raiseLane(open_job&);
    /// To be called when the job is closed or a run of it is dropped.
    void forgetNamesake(const Common::job_id&);
    /// Tasks of the job with a run that is being stopped.
    std::set<Jobs::task_name> tasksBeingStopped(const Common::job_id&) const;
    void planJob(open_job&, const pool_pass&);
    void planStep(open_job&, int occurrence, int step, const pool_pass&);
    void planGang(open_job&, int occurrence, int step, placement_index&, Common::instant now);
    placement_request requestFor(
        open_job&, int occurrence, int step, std::map<Common::worker_id, int>& counts, Common::instant now);
    static task_run runOf(
        const open_job&, const Jobs::task_name&, run_number, run_phase, Common::instant now);
    /// Reserves the resources; the start is sent once the log has the placement.
    void planStart(open_job&, const Jobs::task_name&, worker_state&, run_number, Common::instant now);
    void sendStarts(Common::instant now, dispatch_orders&);
    bool maySend(const placement&, Common::instant now);
    void sendStart(const placement&, Common::instant now, dispatch_orders&);
    /// How long after its sending a start may begin.
    Common::millis startLease() const;
    task_run* findRun(const placement&);
    task_run* findPlanned(const placement&);
    void releaseUnsent(Common::instant now);
    /// Releases planned starts, the last ones first, on workers whose capacity no longer suffices.
    void releaseOverCapacity(Common::instant now);
    /// Releases a planned start, with all other members of a gang.
    void releasePlanned(const placement&, Common::instant now);
    void markStored(const Jobs::job_progress&);
    /// Takes over an earlier leader's placement until the worker reports.
    void inherit(open_job&, const Jobs::task_progress&, Common::instant now);
    void planStops(Common::instant now, dispatch_orders&);
    /// The longest lease that may be granted to the worker's runs now; may be negative.
    Common::millis longestGrant(const worker_state&, Common::instant now) const;
    void updateCurrentLease(Common::instant now, const leadership_status&);
    /// Whether a run of a finished or cancelled job has to be stopped and the worker hasn't accepted that. Its leases
    /// aren't renewed: they last for several polls, so that nothing else is lost unless the stop keeps failing.
    bool hasUnstoppedRuns(const worker_state&);
    void planPolls(Common::instant now, dispatch_orders&);
    void planPaces(dispatch_orders&);

    task_run& addRun(worker_state&, const Jobs::task_name&, const task_run&);
    void dropRun(worker_state&, const Jobs::task_name&);
    /// Drops the run and returns the task to the waiting ones.
    void releaseRun(worker_state&, Jobs::task_name, Common::instant notBefore);
    void orderStop(worker_state&, const Jobs::task_name&, stop_reason);
    /// The run has ended, and how isn't known.
    void loseRun(worker_state&, const Jobs::task_name&, Common::instant now);
    void loseAllRuns(worker_state&, Common::instant now);
    /// Whom an answer describes.
    enum class reply_origin {
        /// The known incarnation, unless a later one has answered without its name.
        Known,
        /// An incarnation that has ended, or what was known of it.
        Outdated,
        NextIncarnation,
        /// Another worker has the address.
        OtherWorker
    };

    static reply_origin originOf(const worker_state&, const worker_address& recipient, const order_reply&);
    /// Discards the known incarnation if the answer shows that it has ended.
    void noteOrigin(worker_state&, reply_origin, const order_reply&, Common::instant now);
    /// Another incarnation, or another worker, answers at the worker's address.
    void discardIncarnation(worker_state&, const worker_entry&, Common::instant now);
    /// Takes the runs that the worker hasn't listed, either those whose start isn't answered or all others.
    std::map<Jobs::task_name, task_run> takeUnlisted(worker_state&, bool isStarting);
    /// The runs may be of the worker's next incarnation.
    void carryOver(worker_state&, const std::map<Jobs::task_name, task_run>& unlisted);
    /// Takes the answered runs from the loss of which it isn't known whether they were lost.
    static worker_loss takeOpenLoss(worker_loss&, const std::map<Jobs::task_name, task_run>& unlisted);
    /// The worker's list of runs shows which of the unlisted ones the earlier incarnation has lost.
    void settleOpenLoss(const worker_state&, const std::set<std::pair<Jobs::task_name, run_number>>& listed,
        Common::instant sentAt);
    worker_loss lossOf(const worker_state&, Common::instant now);
    static void markRecentStarts(const worker_state&, worker_loss&);
    bool hasCommonCause(const worker_state&) const;
    /// The suspected job for which the worker was on probation when it stopped answering.
    static std::optional<Common::job_id> onlySuspectOf(const worker_state&, const worker_loss&);
    void suspectRecentStarts(const worker_loss&);
    /// The worker doesn't answer, and its leases have expired: whether it crashed shows later.
    void noteSilentLoss(const worker_state&, Common::instant now);
    /// Removes what was lost with workers at the address.
    std::vector<worker_loss> takeLosses(const Common::endpoint&);
    void workerAnswers(const worker_state&);
    /// A worker has registered; another one that was lost at its address has crashed.
    void addressTaken(const worker_entry&);
    void endEvidenceWait(const worker_loss&);
    void endEvidenceWaits(Common::instant now);
    void noteCrash(const worker_loss&);
    /// The run has lasted so long that its task doesn't crash workers.
    void clearSuspicion(const worker_state&, const Jobs::task_name&, task_state&);
    /// Puts the worker on probation for the job; false when it already was.
    static bool beginProbation(worker_state&, open_job&, Common::instant now);
    /// A start of the job was answered: the probation lasts as long as it may crash the worker.
    void probationStarted(worker_state&, const Jobs::task_name&, Common::instant now);
    /// Whether the crashes show that the task causes them.
    static bool isCausedBy(const task_state&);
    std::size_t probationsIn(const Common::pool_id&, Common::instant now) const;
    /// Processes a reply's fencing and origin. Null when the worker is gone or another one has its address.
    worker_state* acceptReply(const worker_address& recipient, const order_reply&, Common::instant now);
    void noteFence(const worker_state&, const order_reply&);
    void suspect(worker_state&, Common::instant now, Common::millis time);
    void handleEnd(worker_state&, const listed_end&, Common::instant now);
    void handleDone(open_job&, const listed_end&);
    void handleFailure(open_job&, worker_state&, const listed_end&, Common::instant now);
    void reconcile(worker_state&, const poll_order_reply&, Common::instant sentAt, Common::instant now);
    void reconcileRun(worker_state&, const listed_run&, Common::instant now);
    /// Whether the log has the placement on an incarnation of the worker that has ended.
    bool isOfEarlierIncarnation(const worker_state&, const Jobs::task_name&);
    void adopt(worker_state&, open_job&, const listed_run&);
    /// Whether the reported run is newer than an earlier leader's placement on another worker.
    bool supersedesInherited(const Jobs::task_name&, const task_state&, const listed_run&) const;
    void markRunning(open_job&);
    void updateRun(worker_state&, const Jobs::task_name&, task_run&, const listed_run&, Common::instant now);
    void conclude(open_job&, Jobs::job_state);
    void stopRunsOf(const Common::job_id&);
    bool mayDisrupt(open_job&, const Jobs::task_name&) const;
    void observe(const dispatch_event&);

    dispatcher_options m_options;
    /// By then all leases that earlier leaders granted have expired.
    Common::instant m_earlierLeasesEnd;
    dispatch_observer& m_observer;
    Rules::fleet_rules m_rules;
    std::set<Common::data_centre_id> m_evacuated;
    std::map<Common::worker_id, worker_state> m_workers;
    /// In order of their ids.
    std::map<Common::pool_id, std::vector<worker_state*>> m_workersOfPools;
    std::unordered_map<std::string, std::unique_ptr<open_job>> m_jobs;
    /// The open jobs, and those of which something may still run.
    namesake_index m_namesakes;
    std::map<Common::pool_id, job_order> m_jobsOfPools;
    std::unordered_set<open_job*> m_repeatedJobs;
    /// For each job, the number of its runs on each worker that has some.
    std::unordered_map<std::string, std::map<Common::worker_id, int>> m_runsOfJobs;
    /// Jobs without progress in the log when they were added; no earlier leader can have started them.
    std::set<std::string> m_neverStarted;
    /// Starts that haven't been sent, since the log doesn't have their placements yet.
    std::vector<placement> m_pendingStarts;
    start_limits m_startLimits;
    team_usage m_usage;
    overload_planner m_overload;
    /// Jobs whose progress has to be stored.
    std::set<std::string> m_dirty;
    /// Losses with workers that haven't answered since.
    std::vector<worker_loss> m_losses;
    /// For each worker that has restarted, the answered runs of which it isn't known whether they were lost.
    std::map<Common::worker_id, worker_loss> m_openLosses;
    /// For each worker, the ends that the next batch includes.
    std::map<Common::worker_id, covered_ends> m_uncommittedEnds;
    /// For each worker, the number of the last end whose acknowledgement its present incarnation has answered.
    std::map<Common::worker_id, end_number> m_acknowledgedEnds;
    /// All workers to which an earlier leader may have sent orders are known.
    bool m_areWorkersKnown { false };
    bool m_isLogComplete { false };
    /// Lease that orders grant at present; below `minLease` nothing is started and no lease renewed.
    Common::millis m_currentLease;
    /// Jobs that were added later may be started only if the log can store their placements.
    Common::instant m_jobCutoff;
    bool m_isConfirmed { false };
    /// No other leader can have taken over before this.
    Common::instant m_confirmedUntil;
    /// The store may not answer: jobs in progress go on without waiting for the log.
    bool m_isDegraded { true };
    bool m_isFenced { false };
    plan_statistics m_lastPlan;
};

}
