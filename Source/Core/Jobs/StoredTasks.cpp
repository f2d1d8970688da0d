#include "Jobs/StoredTasks.h"

#include <utility>

namespace Jobs {

stored_tasks::stored_tasks(std::vector<task_progress> tasks)
{
    for (auto& task : tasks) {
        const bool isNext = !m_rows.empty() && task.isDone && m_rows.back().first.isDone
            && m_rows.back().first.occurrence == task.occurrence && m_rows.back().first.step == task.step
            && m_rows.back().last + 1 == task.index;
        if (isNext) {
            ++m_rows.back().last;
            continue;
        }
        const int index = task.index;
        m_rows.push_back({ .first = std::move(task), .last = index });
    }
    m_rows.shrink_to_fit();
}

std::vector<task_progress> stored_tasks::all() const
{
    std::vector<task_progress> tasks;
    for (const auto& [first, last] : m_rows) {
        tasks.push_back(first);
        for (int index = first.index + 1; index <= last; ++index) {
            tasks.push_back({ .occurrence = first.occurrence, .step = first.step, .index = index, .isDone = true });
        }
    }
    return tasks;
}

}
