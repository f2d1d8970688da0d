#pragma once

#include "Common/Clock.h"
#include "Jobs/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

/// Jobs as callers hand them in, and what is known of their progress.
namespace Jobs {

/// Equal tasks of a job that may run at the same time.
struct step_spec {
    int count { 1 };
    /// What each task asks for.
    resources request;
    /// Rough run time of a task as the caller gives it; 0 when not given.
    Common::millis estimate { 0 };
    /// Earlier steps, counted from 0, all of whose tasks must have ended well.
    std::vector<int> dependsOn;
    bool savesCheckpoints { false };
    /// The tasks work only while all of them run.
    bool isGang { false };
    /// The tasks run slower when they are spread over more than one rack.
    bool isRackSensitive { false };
    /// Label that a worker must have; empty for none.
    std::string requiredLabel;
    /// Rack where the data is; empty for none.
    Common::rack_id dataRack;
    /// Most tasks of the step on one worker; 0 for no limit.
    int mostPerWorker { 0 };
    bool allowsDuplicates { false };
    /// The tasks run until the job is cancelled.
    bool isLasting { false };
    /// What the tasks run; tasks of the same image behave alike.
    std::string image;
    /// Bound on the tail of response times of a lasting task; 0 for none.
    Common::millis latencyTarget { 0 };
    /// The tasks use what others on the worker leave, and don't count against its processors.
    bool isFiller { false };
    /// Tasks of a lasting step that may be away at once through orders of ours.
    int disruptionBudget { 0 };

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

struct job_spec {
    /// Text for the workers, passed on unread.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of runs at set times; 0 for one run at once.
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

/// Name of a task: a place in a step of one occurrence of a job.
struct task_name {
    Common::job_id job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// What must outlast the holder of a task that hasn't ended well.
struct task_progress {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };
    bool isDone { false };
    /// Runs that failed; the end of one may be listed to a later holder again.
    std::vector<std::int64_t> failedRuns;
    std::string checkpoint;
    /// Where it was placed, and the number of that run; empty and 0 when nowhere.
    Common::worker_id worker;
    std::int64_t run { 0 };

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// What must outlast the holder of a job.
struct job_progress {
    Common::job_id job;
    job_state state { job_state::Pending };
    /// Tasks with anything to tell; others have not ended yet.
    std::vector<task_progress> tasks;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

}
