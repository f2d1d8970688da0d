#include "Jobs/Job.h"

#include <algorithm>

namespace Jobs {

progress_division::progress_division(const job_spec& spec)
    : m_occurrences(std::max(1, spec.repetitions))
{
    for (const auto& step : spec.steps) {
        m_firstTasks.push_back(m_tasksPerOccurrence);
        m_tasksPerOccurrence += step.count;
    }
}

int progress_division::partCount() const
{
    const auto tasks = m_tasksPerOccurrence * m_occurrences;
    return static_cast<int>(std::max<std::int64_t>(1, (tasks + tasksPerPart - 1) / tasksPerPart));
}

int progress_division::partOf(const task_progress& task) const
{
    const auto position = m_tasksPerOccurrence * task.occurrence + m_firstTasks.at(static_cast<std::size_t>(task.step)) + task.index;
    return static_cast<int>(position / tasksPerPart);
}

std::vector<std::vector<task_progress>> progress_division::divide(const job_progress& progress) const
{
    std::vector<std::vector<task_progress>> parts(static_cast<std::size_t>(partCount()));
    for (const auto& task : progress.tasks)
        parts.at(static_cast<std::size_t>(partOf(task))).push_back(task);
    return parts;
}

}
