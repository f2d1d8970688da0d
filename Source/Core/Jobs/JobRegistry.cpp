#include "Jobs/JobRegistry.h"

#include <algorithm>
#include <utility>

namespace Jobs {

bool caller_scope::covers(const job_record& job) const
{
    return job.queue == queue && (job.team.empty() || team.empty() || job.team == team);
}

bool job_registry::accept(job_record record)
{
    auto& job = m_jobs[record.id.value];
    // Clients that got no answer submit a job again; only the first copy of an id counts.
    if (job.record)
        return false;
    job.record = std::move(record);
    const auto [first, last] = m_earlyCancellations.equal_range(job.record->id.value);
    job.isCancelled = job.isCancelled
        || std::any_of(first, last, [&job](const auto& entry) { return entry.second.covers(*job.record); });
    m_earlyCancellations.erase(first, last);
    return true;
}

bool job_registry::cancel(const Common::job_id& id) { return !std::exchange(m_jobs[id.value].isCancelled, true); }

bool job_registry::cancel(const Common::job_id& id, const caller_scope& scope)
{
    if (const auto* job = find(id))
        return scope.covers(*job->record) && cancel(id);
    if (!awaitsJob(id, scope))
        m_earlyCancellations.emplace(id.value, scope);
    return false;
}

bool job_registry::awaitsJob(const Common::job_id& id, const caller_scope& scope) const
{
    const auto [first, last] = m_earlyCancellations.equal_range(id.value);
    return std::any_of(first, last, [&scope](const auto& entry) { return entry.second == scope; });
}

job_progress known_job::wholeProgress() const
{
    auto whole = progress;
    for (const auto& [number, tasks] : laterParts)
        whole.tasks.insert(whole.tasks.end(), tasks.begin(), tasks.end());
    return whole;
}

void job_registry::advance(job_progress progress, int part)
{
    auto& job = m_jobs[progress.job.value];
    // The leader applies a final state before it reads its own, possibly older, records back.
    if (isFinal(job.progress.state))
        return;
    if (part > 0) {
        job.progress.job = progress.job;
        job.laterParts[part] = std::move(progress.tasks);
        return;
    }
    job.progress = std::move(progress);
    if (isFinal(job.progress.state))
        job.laterParts.clear();
}

void job_registry::noteState(const Common::job_id& id, job_state state)
{
    auto& progress = m_jobs[id.value].progress;
    progress.job = id;
    // Progress that was read first may be newer.
    if (!isFinal(progress.state) && progress.state < state)
        progress.state = state;
}

void job_registry::visitStates(const std::function<void(const Common::job_id&, job_state)>& visit) const
{
    for (const auto& [id, job] : m_jobs)
        visit({ id }, job.progress.state);
}

void job_registry::forget(const Common::job_id& id)
{
    m_jobs.erase(id.value);
}

const known_job* job_registry::find(const Common::job_id& id) const
{
    const auto found = m_jobs.find(id.value);
    if (found == m_jobs.end() || !found->second.record)
        return nullptr;
    return &found->second;
}

std::optional<job_state> job_registry::stateOf(const Common::job_id& id) const
{
    const auto* job = find(id);
    if (!job)
        return std::nullopt;
    if (isFinal(job->progress.state))
        return job->progress.state;
    return job->isCancelled ? job_state::Cancelled : job->progress.state;
}

int job_registry::waitingIn(const Common::queue_id& queue) const
{
    const auto isWaiting = [&queue](const auto& entry) {
        const auto& job = entry.second;
        return job.record && job.record->queue == queue && !job.isCancelled
            && job.progress.state == job_state::Pending;
    };
    return static_cast<int>(std::count_if(m_jobs.begin(), m_jobs.end(), isWaiting));
}

std::vector<Common::job_id> job_registry::openJobs() const { return unfinished(false); }

std::vector<Common::job_id> job_registry::cancelledJobs() const { return unfinished(true); }

std::vector<Common::job_id> job_registry::unfinished(bool isCancelled) const
{
    std::vector<Common::job_id> jobs;
    for (const auto& [id, job] : m_jobs) {
        if (job.record && job.isCancelled == isCancelled && !isFinal(job.progress.state))
            jobs.push_back({ id });
    }
    std::sort(jobs.begin(), jobs.end());
    return jobs;
}

}
