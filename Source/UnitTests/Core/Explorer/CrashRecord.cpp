#include "CrashRecord.h"

#include <algorithm>

std::string describe(const Jobs::task_name& task)
{
    return task.job.value + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

bool crash_record::isCrashing(const Jobs::task_name& task) const
{
    const auto* known = crashingTaskOf(task.job);
    return known && *known == task;
}

const Jobs::task_name* crash_record::crashingTaskOf(const Common::job_id& job) const
{
    const auto found = m_crashingTasks.find(job);
    return found == m_crashingTasks.end() ? nullptr : &found->second;
}

void crash_record::wasLost(const Jobs::task_name& task) { ++m_lost[task]; }

std::string crash_record::started(const Jobs::task_name& task, const std::string& text)
{
    if (crashesBy(task) < crashLimit || ++m_startsAfterLimit[task] < startLimit)
        return {};
    return text + " is start " + std::to_string(m_startsAfterLimit[task]) + " after " + std::to_string(crashLimit)
        + " workers had crashed under it";
}

std::string crash_record::checkEnd(const Common::job_id& job, Jobs::job_state state) const
{
    const auto* crashing = crashingTaskOf(job);
    if (crashing && state != Jobs::job_state::Failed)
        return "job " + job.value + " isn't failed, although " + std::to_string(crashesBy(*crashing))
            + " workers crashed under its task " + describe(*crashing);
    if (!crashing && state == Jobs::job_state::Completed)
        return {};
    if (state != Jobs::job_state::Failed)
        return "job " + job.value + " isn't completed";
    const auto lost = mostLostOf(job);
    if (lost >= suspicionLimit)
        return {};
    return "job " + job.value + " is failed too soon; workers that crashed under one of its tasks: " + std::to_string(lost);
}

int crash_record::crashesBy(const Jobs::task_name& task) const
{
    const auto found = m_caused.find(task);
    return found == m_caused.end() ? 0 : found->second;
}

int crash_record::crashCount() const
{
    int count = 0;
    for (const auto& [task, crashes] : m_caused)
        count += crashes;
    return count;
}

int crash_record::mostLostOf(const Common::job_id& job) const
{
    int most = 0;
    for (const auto& [task, lost] : m_lost)
        most = task.job == job ? std::max(most, lost) : most;
    return most;
}
