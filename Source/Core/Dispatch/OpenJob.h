#pragma once

#include "Dispatch/StepState.h"
#include "Rules/FleetRules.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Dispatch {

/// A task is given up when this many workers have crashed just after they started it, one of them on probation for its job.
constexpr std::size_t maxStartCrashes = 2;
/// A task is also given up when this many workers have crashed that may have run it.
constexpr std::size_t maxPossibleCrashes = 4;
/// A task that has run for this long doesn't crash its worker.
constexpr Common::millis survivalTime { 3000 };

struct occurrence_state {
    std::vector<step_state> steps;
};

struct occurrence_step {
    int occurrence { 0 };
    int step { 0 };
};

/// What scheduling needs to know about the steps of a job.
struct job_summary {
    /// Steps with tasks that wait, and whose dependencies are done.
    std::vector<occurrence_step> readySteps;
    /// After this time the job can no longer meet its deadline.
    Common::wall_millis lateAfter;
    /// Requests of the tasks that wait and are ready, of those that wait for others, and of those that are placed.
    /// Best-effort tasks don't count.
    Jobs::resources waiting;
    Jobs::resources blocked;
    Jobs::resources placed;
    /// Workers that the open tasks of a ready step need because of the step's limit for each worker; the largest of all
    /// steps, 0 if none has a limit.
    int workersForSpread { 0 };
};

/// A job that isn't finished, as the leader of its pool tracks it.
class open_job {
public:
    /// This leader's run numbers are higher than `base`, in the last of the progress' lanes.
    open_job(const Jobs::job_record&, const Jobs::job_progress&, run_number base);

    const Jobs::job_record& record() const { return m_record; }
    const Jobs::step_spec& spec(const Jobs::task_name& name) const
    {
        return m_record.spec.steps[static_cast<std::size_t>(name.step)];
    }
    /// Applies what the log has of some tasks, on top of what was applied before.
    void restore(const Jobs::job_progress&);
    /// Null when the job has no such task, or its occurrence isn't open yet. The state of a task that is done is valid until the
    /// next call; changes to it have no effect.
    task_state* find(const Jobs::task_name&);
    /// Opens occurrences that are due at `now`, as many at a time as the bound of open steps allows.
    void openDue(Common::wall_millis now);
    /// Occurrences that are open and not complete.
    std::map<int, occurrence_state>& occurrences() { return m_occurrences; }
    /// Whether all steps that the step depends on have completed.
    bool isReady(const occurrence_state&, int step) const;
    bool isComplete() const;
    /// Whether a run of a task was lost with its worker.
    bool hasLosses() const { return m_hasLosses; }
    /// Whether a task of the job may crash the workers that start it.
    bool isSuspect() const;
    /// The task's run was lost with its worker. Null when the job has no such task, or it is done.
    task_state* noteLoss(const Jobs::task_name&);
    bool hasLongRunningTasks() const { return m_hasLongRunningTasks; }
    /// Calculated again after the job has changed only.
    const job_summary& summary();
    /// The job is added to `changed` now and once after each time its summary has become outdated; null for no list.
    void reportChangesTo(std::vector<open_job*>* changed);
    /// To be called after `state` has become final.
    void noteChange();

    void place(const Jobs::task_name&, const worker_incarnation&, run_number);
    /// Returns the task to the waiting ones; it isn't started before `notBefore`.
    void release(const Jobs::task_name&, Common::instant notBefore);
    void finish(const Jobs::task_name&);

    /// The task's progress differs from what was last taken.
    void noteProgress(const Jobs::task_name&);
    /// The job's state, or what else its first part shows, differs from it.
    void noteState() { m_changedParts.insert(0); }
    /// The parts of the progress that have changed since the last call; of a job that is finished only its state.
    std::vector<Jobs::job_progress> takeProgress();
    /// Lanes of the job's run numbers, the present one last.
    const std::vector<int>& lanes() const { return m_lanes; }
    /// This leader's run numbers in the present lane are higher.
    run_number firstRun() const;
    /// From now on, runs have numbers of this lane, which is higher than the others.
    void useLane(int lane);

    Jobs::job_state state { Jobs::job_state::Pending };
    /// Whatever the log has of the job, and whatever is on the way there, a later leader treats it as started.
    bool isLogged { false };
    Common::instant addedAt;
    /// Since when a suspected task has waited although a worker has room for it.
    std::optional<Common::instant> waitsForProbationSince;
    /// A worker is on probation for the job until then.
    Common::instant probationUntil;
    bool hasProbation(Common::instant now) const { return now < probationUntil; }
    /// Wall-clock deadline of the job; earlier deadlines are scheduled first.
    Common::wall_millis dueAt;
    /// Of its queue; 0 is the highest.
    int priority { 0 };

private:
    occurrence_state& open(int occurrence);
    int occurrenceCount() const;
    bool isOccurrenceDone(int occurrence) const;
    /// A finished occurrence is kept as its number only.
    void closeIfDone(int occurrence);
    Jobs::job_progress progressOfPart(int part) const;
    job_summary summarize() const;
    Common::wall_millis lateAfter() const;

    Jobs::job_record m_record;
    std::vector<int> m_lanes;
    run_number m_termBase;
    Jobs::progress_division m_division;
    /// Parts of the progress to be stored.
    std::set<int> m_changedParts;
    std::map<int, occurrence_state> m_occurrences;
    /// All occurrences below `m_doneBelow` are done, and those in the set.
    int m_doneBelow { 0 };
    std::set<int> m_doneOccurrences;
    /// Occurrences from this one on haven't been looked at by `openDue`.
    int m_nextOccurrence { 0 };
    task_state m_finishedTask;
    bool m_hasLongRunningTasks { false };
    /// A run of a task was lost with its worker.
    bool m_hasLosses { false };
    /// Empty when the job has changed since it was calculated.
    std::optional<job_summary> m_summary;
    std::vector<open_job*>* m_changed { nullptr };
};

/// Estimated length of the critical path through the steps. Steps that are done in `done`, if given, count as 0.
Common::millis criticalPath(const Jobs::job_spec&, const occurrence_state* done = nullptr);

/// Name of the task at `index` in a step.
Jobs::task_name taskAt(const Jobs::job_record&, int occurrence, int step, int index);

}
