#pragma once

#include "Dispatch/Orders.h"
#include "Rules/FleetRules.h"

#include <map>
#include <memory>
#include <set>

namespace Dispatch {

enum class task_phase {
    Waiting,
    /// Starting, running or stopping on a worker.
    Placed,
    Done
};

struct task_state {
    task_phase phase { task_phase::Waiting };
    /// Of the present placement.
    Common::worker_id worker;
    run_number run;
    run_number lastRun;
    std::set<run_number> failedRuns;
    std::string checkpoint;
    /// Where it failed last; not to be tried there again while there are others.
    Common::worker_id failedOn;
    Common::instant notBefore;
    /// Lost while another holder may have been there and noted its end; not to be started before the seat is sure.
    bool isDoubtful { false };
};

struct step_state {
    std::vector<task_state> tasks;
    int done { 0 };
    int placed { 0 };

    bool isDone() const { return done == static_cast<int>(tasks.size()); }
};

struct occurrence_state {
    std::vector<step_state> steps;
};

/// A job that isn't over, at the holder of its pool.
class open_job {
public:
    /// `base` is the number after which run numbers of this holder begin.
    open_job(const Jobs::job_record&, const Jobs::job_progress&, run_number base);

    const Jobs::job_record& record() const { return m_record; }
    const Jobs::step_spec& spec(const Jobs::task_name& name) const
    {
        return m_record.spec.steps[static_cast<std::size_t>(name.step)];
    }
    /// Null when the job has no such task, or its occurrence hasn't been opened.
    task_state* find(const Jobs::task_name&);
    /// Opens the occurrences that are due at `now`.
    void openDue(Common::wall_millis now);
    std::map<int, occurrence_state>& occurrences() { return m_occurrences; }
    /// Whether all steps that the step depends on have ended well.
    bool isReady(const occurrence_state&, int step) const;
    bool isComplete() const;
    bool hasLastingTasks() const;
    /// Longest chain of estimated work through the steps that aren't done, over all open occurrences.
    Common::millis remainingChain() const;

    void place(const Jobs::task_name&, const Common::worker_id&, run_number);
    /// Back to waiting, not before `notBefore`.
    void release(const Jobs::task_name&, Common::instant notBefore);
    void finish(const Jobs::task_name&);

    Jobs::job_progress progress() const;

    Jobs::job_state state { Jobs::job_state::Pending };
    /// The log says more of it than that it was accepted, so a later holder takes it for begun.
    bool isNoted { false };
    Common::instant addedAt;
    /// Latest wall-clock time at which the job ends on time; earlier ones go first.
    Common::wall_millis dueAt;

private:
    occurrence_state& open(int occurrence);
    int occurrenceCount() const;

    Jobs::job_record m_record;
    run_number m_base;
    std::map<int, occurrence_state> m_occurrences;
};

/// Longest chain of estimated work through the steps; of `done` ones, when given, none is left.
Common::millis longestChain(const Jobs::job_spec&, const occurrence_state* done = nullptr);

/// Name of a task's step, for look-ups over its tasks.
Jobs::task_name taskAt(const Jobs::job_record&, int occurrence, int step, std::size_t index);

}
