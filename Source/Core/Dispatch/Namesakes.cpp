#include "Dispatch/Namesakes.h"

#include <algorithm>

namespace Dispatch {

std::vector<int> namesake_index::add(const Common::job_id& id, const std::vector<int>& lanes, int highestTaken)
{
    auto& group = m_groups[Jobs::callerIdOf(id).value];
    const auto known
        = std::find_if(group.jobs.begin(), group.jobs.end(), [&id](const auto& other) { return other.job == id; });
    if (known != group.jobs.end())
        return known->lanes;
    group.highestLane = std::max(group.highestLane, highestTaken);
    const auto used = lanes.empty() ? std::vector<int> { group.highestLane + 1 } : lanes;
    group.highestLane = std::max(group.highestLane, used.back());
    group.jobs.push_back({ .job = id, .lanes = used });
    return used;
}

void namesake_index::remove(const Common::job_id& id)
{
    const auto found = m_groups.find(Jobs::callerIdOf(id).value);
    if (found == m_groups.end())
        return;
    std::erase_if(found->second.jobs, [&id](const auto& other) { return other.job == id; });
    if (found->second.jobs.empty())
        m_groups.erase(found);
}

std::optional<int> namesake_index::raise(const Common::job_id& id)
{
    const auto found = m_groups.find(Jobs::callerIdOf(id).value);
    if (found == m_groups.end())
        return std::nullopt;
    auto& group = found->second;
    const auto job = std::find_if(group.jobs.begin(), group.jobs.end(), [&id](const auto& other) { return other.job == id; });
    if (job == group.jobs.end() || job->lanes.back() == group.highestLane)
        return std::nullopt;
    job->lanes.push_back(++group.highestLane);
    return group.highestLane;
}

std::optional<Common::job_id> namesake_index::find(const Common::caller_job_id& id, std::int64_t run) const
{
    const auto found = m_groups.find(id.value);
    if (found == m_groups.end())
        return std::nullopt;
    const int lane = Jobs::laneOfRun(run);
    for (const auto& [job, lanes] : found->second.jobs) {
        if (std::find(lanes.begin(), lanes.end(), lane) != lanes.end())
            return job;
    }
    return std::nullopt;
}

std::vector<Common::job_id> namesake_index::othersOf(const Common::job_id& id) const
{
    std::vector<Common::job_id> others;
    const auto found = m_groups.find(Jobs::callerIdOf(id).value);
    if (found == m_groups.end())
        return others;
    for (const auto& other : found->second.jobs) {
        if (other.job != id)
            others.push_back(other.job);
    }
    return others;
}

}
