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

std::vector<progress_division::task_range> progress_division::rangesOf(int part) const
{
    std::vector<task_range> ranges;
    auto position = tasksPerPart * part;
    const auto end = std::min(position + tasksPerPart, m_tasksPerOccurrence * m_occurrences);
    while (position < end) {
        const auto inOccurrence = position % m_tasksPerOccurrence;
        const auto next = std::upper_bound(m_firstTasks.begin(), m_firstTasks.end(), inOccurrence);
        const auto stepEnd = next == m_firstTasks.end() ? m_tasksPerOccurrence : *next;
        const auto count = std::min(stepEnd - inOccurrence, end - position);
        const auto first = inOccurrence - *std::prev(next);
        ranges.push_back({ .occurrence = static_cast<int>(position / m_tasksPerOccurrence),
            .step = static_cast<int>(next - m_firstTasks.begin()) - 1,
            .first = static_cast<int>(first),
            .last = static_cast<int>(first + count) });
        position += count;
    }
    return ranges;
}

}
