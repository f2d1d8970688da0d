#pragma once

#include "Dispatch/Orders.h"

#include <map>
#include <set>
#include <string>

std::string describe(const Jobs::task_name&);

/// Tasks that crash the workers that start them, the crashes under all tasks, and the starts that follow them.
class crash_record {
public:
    /// A task is a violation with this many starts after `crashLimit` workers have crashed under it.
    static constexpr int crashLimit = 3;
    static constexpr int startLimit = 3;
    /// A job may be given up after this many workers have crashed under one of its tasks.
    static constexpr int suspicionLimit = 2;

    void addCrashingTask(const Jobs::task_name& task) { m_crashingTasks.emplace(task.job, task); }
    bool isCrashing(const Jobs::task_name&) const;
    /// Null when none of the job's tasks crashes workers.
    const Jobs::task_name* crashingTaskOf(const Common::job_id&) const;
    /// A worker crashed because of the task.
    void causedCrash(const Jobs::task_name& task) { ++m_caused[task]; }
    /// A worker on which the task was running crashed, for whatever reason.
    void wasLost(const Jobs::task_name&);
    /// Counts a start by a node in touch. Returns the violation; empty if there is none.
    std::string started(const Jobs::task_name&, const std::string& text);
    /// Returns the violation if the job ended in this state; empty if there is none.
    std::string checkEnd(const Common::job_id&, Jobs::job_state) const;
    int crashesBy(const Jobs::task_name&) const;
    int crashCount() const;
    int crashingTaskCount() const { return static_cast<int>(m_crashingTasks.size()); }

private:
    int mostLostOf(const Common::job_id&) const;

    std::map<Common::job_id, Jobs::task_name> m_crashingTasks;
    std::map<Jobs::task_name, int> m_caused;
    std::map<Jobs::task_name, int> m_startsAfterLimit;
    std::map<Jobs::task_name, int> m_lost;
};
