#pragma once

#include "Dispatch/Orders.h"
#include "Dispatch/OverloadPlanner.h"

#include <optional>

/// What a dispatcher reports of its decisions, for logs and counters.
namespace Dispatch {

enum class dispatch_event_kind {
    Adopted,
    Started,
    StartRefused,
    StartOutcomeUnknown,
    StopOrdered,
    Ended,
    RunMissing,
    /// The worker has more ends than one list holds; what it doesn't list may have ended.
    EndListCut,
    EndListComplete,
    Stalled,
    WorkerUnresponsive,
    WorkerLeaseExpired,
    WorkerRestarted,
    /// Nothing that an earlier leader ordered can still run on the worker unnoticed.
    WorkerReconciled,
    /// It may again.
    WorkerUnreconciled,
    /// A start was sent although the log doesn't have its placement.
    SentWithoutLog,
    /// Its worker has restarted, and only the worker's next list shows whether the run was lost.
    RunUndetermined,
    /// A run was lost when its worker crashed.
    CrashNoted,
    /// The task's job is run apart from other suspected jobs.
    CrashSuspected,
    /// The task has run long enough not to be the cause of crashes.
    CrashSuspicionCleared,
    /// The pool is short: other jobs are started first.
    JobPostponed,
    /// It is among the first again.
    JobResumed,
    /// The job's next runs have higher numbers than those of other jobs with the same identifier of the caller.
    LaneRaised,
    /// The task is given up, since workers crash when they start it.
    CrashingTaskGivenUp,
    WorkerSuspected,
    JobFinished,
    Fenced
};

/// Why a run is stopped.
enum class stop_reason {
    /// The job is finished or cancelled.
    JobFinished,
    /// The start had no answer, so it is unknown whether the task runs.
    StartUnanswered,
    Stalled,
    /// Another run of the task has succeeded.
    TaskDone,
    /// The worker reports a run that isn't wanted there.
    NotWanted,
    /// The worker is to be emptied.
    Evicted
};

/// Why nothing that an earlier leader ordered can still run on a worker unnoticed.
enum class reconciliation_reason {
    EndsListed,
    LeasesExpired
};

/// A decision of the dispatcher or a change that it noticed, for logs and counters.
struct dispatch_event {
    dispatch_event_kind kind;
    Jobs::task_name task;
    Common::worker_id worker;
    run_number run;
    std::optional<order_outcome> outcome;
    std::optional<end_kind> end;
    std::optional<Jobs::job_state> state;
    std::optional<stop_reason> stop;
    std::optional<reconciliation_reason> reconciliation;
    /// Time since another leader may have taken over; empty while none can have.
    std::optional<Common::millis> disputedFor;
    /// Time from the sending of a start to its answer.
    std::optional<Common::millis> answeredAfter;
    std::optional<postponement> postponed;
};

/// Parts of a planning pass.
enum class plan_part {
    Upkeep,
    Stops,
    Ordering,
    Placement,
    Sending,
    Polls,
    Paces,
    End
};

class dispatch_observer {
public:
    virtual ~dispatch_observer() = default;
    virtual void observe(const dispatch_event&) = 0;
    /// The part begins; the part before it has ended.
    virtual void onPlanPart(plan_part) { }
};

}
