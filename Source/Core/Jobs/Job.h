#pragma once

#include "Common/Clock.h"
#include "Jobs/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

/// Jobs as clients submit them, and their progress.
namespace Jobs {

inline constexpr int maxStepsPerJob = 64;
inline constexpr int maxTasksPerStep = 4000;
/// Over all occurrences. A leader keeps the state of each task that is due, with all occurrences of the past.
inline constexpr std::int64_t maxTasksPerJob = 256'000;

/// A step of a job: identical tasks that may run at the same time.
struct step_spec {
    int count { 1 };
    /// Resources requested by each task.
    resources request;
    /// The client's rough estimate of a task's run time; 0 when not given.
    Common::millis estimate { 0 };
    /// Indexes, from 0, of earlier steps, all of whose tasks must have succeeded first.
    std::vector<int> dependsOn;
    bool savesCheckpoints { false };
    /// The tasks can work only while all of them run.
    bool isGang { false };
    /// The tasks run slower when they are spread over more than one rack.
    bool isRackSensitive { false };
    /// Label that a worker must have; empty for none.
    std::string requiredLabel;
    /// Rack that holds the step's data; empty for none.
    Common::rack_id dataRack;
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    int maxPerWorker { 0 };
    bool allowsDuplicates { false };
    /// The tasks run until the job is cancelled.
    bool isLongRunning { false };
    /// Image that the tasks run; tasks of the same image behave alike.
    std::string image;
    /// Target for the tail latency of a long-running task; 0 for none.
    Common::millis latencyTarget { 0 };
    /// Best-effort tasks: they use processor that others on the worker leave idle, and none is reserved for them.
    bool isBestEffort { false };
    /// Number of tasks of a long-running step that may be down at once through evictions.
    int disruptionBudget { 0 };

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

struct job_spec {
    /// Opaque text for the workers.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of scheduled occurrences; 0 for a single one that starts at once.
    int repetitions { 0 };
    Common::wall_millis firstStart;
    Common::millis interval { 0 };

    friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// An accepted job.
struct job_record {
    Common::job_id id;
    Common::queue_id queue;
    Common::team_id team;
    Common::wall_millis acceptedAt;
    job_spec spec;
};

enum class job_state {
    Pending,
    Running,
    Completed,
    Failed,
    Cancelled
};

inline bool isFinal(job_state state)
{
    return state == job_state::Completed || state == job_state::Failed || state == job_state::Cancelled;
}

/// Identifies a task by job, occurrence, step and index in the step.
struct task_name {
    Common::job_id job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// Stored state of a task, from which a later leader goes on.
struct task_progress {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };
    bool isDone { false };
    /// Numbers of failed runs. Workers may report their ends again to a later leader.
    std::vector<std::int64_t> failedRuns;
    /// Numbers of runs that were lost when their worker crashed.
    std::vector<std::int64_t> crashedRuns;
    std::string checkpoint;
    /// Present placement and its run number; empty and 0 when there is none.
    Common::worker_id worker;
    std::int64_t run { 0 };
    /// Incarnation of the worker that the task was placed on; 0 if it isn't known.
    Common::wall_millis incarnation;

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// Stored state of a job, from which a later leader goes on.
struct job_progress {
    Common::job_id job;
    job_state state { job_state::Pending };
    /// Lanes of the job's run numbers, the present one last; empty as long as none is known.
    std::vector<int> lanes;
    /// Number of the part, in the division of the job's progress.
    int part { 0 };
    /// Tasks that are done, placed, failed before or have a checkpoint; the others have nothing to store.
    std::vector<task_progress> tasks;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

/// Whether the job's progress is stored under the caller's identifier alone, like that of earlier versions. Of the jobs with
/// the same identifier only the one that uses lane 0 is.
inline bool usesCallerKey(const job_progress& progress) { return progress.lanes.empty() || progress.lanes.front() == 0; }

/// Whether the stored progress tells a later leader that tasks of the job may be running. Of a job without that nobody may
/// start anything that isn't stored first.
inline bool showsStart(const job_progress& progress)
{
    return progress.state != job_state::Pending || !progress.tasks.empty();
}

/// Divides the progress of a job into parts, each of which fits a record of the log. The log keeps the newest record of
/// each part. The division depends on the job's steps only, and mustn't change: the parts of two divisions would be mixed.
class progress_division {
public:
    static constexpr std::int64_t tasksPerPart = 256;

    explicit progress_division(const job_spec&);

    int partCount() const;
    /// Number of the part that holds the task, from 0.
    int partOf(const task_progress&) const;
    /// Tasks of one step in one occurrence: the first index, and the one after the last.
    struct task_range {
        int occurrence { 0 };
        int step { 0 };
        int first { 0 };
        int last { 0 };
    };
    /// The tasks of a part, in their order.
    std::vector<task_range> rangesOf(int part) const;

private:
    /// Number of the first task of each step, in an occurrence.
    std::vector<std::int64_t> m_firstTasks;
    std::int64_t m_tasksPerOccurrence { 0 };
    std::int64_t m_occurrences { 1 };
};

}
