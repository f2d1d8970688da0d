#include "Dispatch/JobOrder.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

namespace {

    bool isBefore(const open_job* left, const open_job* right)
    {
        const auto key = [](const open_job& job) {
            return std::make_tuple(!job.hasLongRunningTasks(), job.priority, job.dueAt);
        };
        const auto leftKey = key(*left);
        const auto rightKey = key(*right);
        return leftKey != rightKey ? leftKey < rightKey : left->record().id < right->record().id;
    }

}

void job_order::insert(open_job& job)
{
    m_jobs.insert(std::upper_bound(m_jobs.begin(), m_jobs.end(), &job, isBefore), &job);
}

void job_order::erase(const open_job& job)
{
    const auto found = std::lower_bound(m_jobs.begin(), m_jobs.end(), &job, isBefore);
    if (found != m_jobs.end() && *found == &job)
        m_jobs.erase(found);
}

}
