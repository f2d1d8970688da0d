#pragma once

#include "Dispatch/Orders.h"

#include <map>
#include <optional>
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
    /// Worker, its incarnation, and run of the present placement.
    Common::worker_id worker;
    Common::wall_millis incarnation;
    run_number run;
    run_number lastRun;
    std::set<run_number> failedRuns;
    /// Runs that had begun and were lost when their worker crashed, and how many of them had just started.
    std::set<run_number> crashedRuns;
    std::size_t startCrashes { 0 };
    /// One of these was on probation for the job.
    bool wasAlone { false };
    /// Runs that were lost with a crashed worker that may not have begun them.
    std::set<run_number> possibleCrashes;
    /// Runs whose worker stopped answering; whether it crashed isn't known yet.
    std::set<run_number> unresolvedRuns;
    /// Was among the last tasks that a worker started before it crashed.
    bool isPrimeSuspect { false };
    std::string checkpoint;
    /// Worker on which the task failed last; avoided while others are eligible.
    Common::worker_id failedOn;
    Common::instant notBefore;
    /// Lost while another leader may already have logged its end; not restarted until our leadership is confirmed.
    bool awaitsConfirmation { false };
};

/// The tasks of a step in one occurrence. Only tasks that have been placed or have a history, and aren't done, take memory of
/// their own: a step of thousands of tasks costs as much as those of them that run.
class step_state {
public:
    explicit step_state(int count);

    int count() const { return m_count; }
    int done() const { return m_done; }
    int placed() const { return m_placed; }
    /// Tasks that are neither done nor placed.
    int waiting() const { return m_count - m_done - m_placed; }
    bool isDone() const { return m_done == m_count; }
    bool isTaskDone(int index) const;

    /// State of a task that isn't done; kept from now on. `firstRun` is its last run if it has none.
    task_state& track(int index, run_number firstRun);
    /// Null for a task that is done, or has no history.
    const task_state* find(int index) const;
    /// Tasks that aren't done and have a history.
    const std::map<int, task_state>& tracked() const { return m_tracked; }
    std::map<int, task_state>& tracked() { return m_tracked; }
    /// The first task from `index` on that is waiting.
    std::optional<int> nextWaiting(int index) const;

    /// The task is tracked and waits.
    void place(int index);
    /// The task is tracked and placed.
    void release(int index);
    void finish(int index);

private:
    bool isUntouched(int index) const;
    /// Removes the task from the untouched ones.
    void touch(int index);

    int m_count { 0 };
    int m_done { 0 };
    int m_placed { 0 };
    std::map<int, task_state> m_tracked;
    /// Ranges of tasks without a history: the first, and the one after the last. Those in neither map are done.
    std::map<int, int> m_untouched;
};

}
