#include "Dispatch/JobOrder.h"

#include <algorithm>
#include <tuple>
#include <utility>

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

    void insertSorted(std::vector<open_job*>& jobs, open_job& job)
    {
        jobs.insert(std::upper_bound(jobs.begin(), jobs.end(), &job, isBefore), &job);
    }

    void eraseSorted(std::vector<open_job*>& jobs, open_job& job)
    {
        const auto found = std::lower_bound(jobs.begin(), jobs.end(), &job, isBefore);
        if (found != jobs.end() && *found == &job)
            jobs.erase(found);
    }

}

job_order::~job_order()
{
    for (auto& [job, entry] : m_entries)
        job->reportChangesTo(nullptr);
}

void job_order::insert(open_job& job)
{
    m_entries.try_emplace(&job);
    job.reportChangesTo(&m_changed);
}

void job_order::erase(open_job& job)
{
    const auto found = m_entries.find(&job);
    if (found == m_entries.end())
        return;
    remove(job, found->second);
    m_entries.erase(found);
    std::erase(m_changed, &job);
    job.reportChangesTo(nullptr);
}

void job_order::refresh(Common::wall_millis now)
{
    // Late jobs are on time again when the wall clock was set back.
    if (now < m_now) {
        for (auto& [job, entry] : m_entries)
            job->noteChange();
    }
    m_now = now;
    for (auto* job : std::exchange(m_changed, {})) {
        auto& entry = m_entries.at(job);
        remove(*job, entry);
        add(*job, entry);
    }
    while (!m_lateTimes.empty() && m_lateTimes.begin()->after < now) {
        auto* job = m_lateTimes.begin()->job;
        auto& entry = m_entries.at(job);
        remove(*job, entry);
        add(*job, entry);
    }
}

void job_order::visit(const std::function<void(open_job&, bool isLate)>& action) const
{
    for (const auto& [job, entry] : m_entries) {
        if (!Jobs::isFinal(job->state))
            action(*job, entry.isLate);
    }
}

void job_order::add(open_job& job, entry& entry)
{
    const auto& summary = job.summary();
    if (Jobs::isFinal(job.state))
        return;
    entry.summary = summary;
    entry.isLate = summary.lateAfter < m_now;
    entry.isStartable = !entry.summary.readySteps.empty();
    entry.isShort = !job.hasLongRunningTasks();
    if (entry.isStartable)
        insertSorted(entry.isLate ? m_late : m_onTime, job);
    for (const auto& step : entry.summary.readySteps)
        ++m_readyRequests[requestOf(job.record().spec.steps[static_cast<std::size_t>(step.step)])];
    if (!entry.isLate)
        m_lateTimes.insert({ .after = summary.lateAfter, .job = &job });
    addDemand(entry);
}

void job_order::remove(open_job& job, entry& entry)
{
    const auto old = std::exchange(entry, {});
    if (old.isStartable)
        eraseSorted(old.isLate ? m_late : m_onTime, job);
    for (const auto& step : old.summary.readySteps) {
        const auto request = m_readyRequests.find(requestOf(job.record().spec.steps[static_cast<std::size_t>(step.step)]));
        if (--request->second == 0)
            m_readyRequests.erase(request);
    }
    if (!old.isLate)
        m_lateTimes.erase({ .after = old.summary.lateAfter, .job = &job });
    removeDemand(old);
}

void job_order::addDemand(const entry& added)
{
    m_demand.shortJobs += added.isShort ? 1 : 0;
    (added.isLate ? m_demand.late : m_demand.waiting) += added.summary.waiting;
    (added.isLate ? m_demand.late : m_demand.blocked) += added.summary.blocked;
    (added.isLate ? m_demand.late : m_demand.running) += added.summary.placed;
    if (!added.isLate && added.summary.workersForSpread > 0) {
        ++m_spreads[added.summary.workersForSpread];
        m_demand.workersForSpread = m_spreads.rbegin()->first;
    }
}

void job_order::removeDemand(const entry& removed)
{
    m_demand.shortJobs -= removed.isShort ? 1 : 0;
    (removed.isLate ? m_demand.late : m_demand.waiting) -= removed.summary.waiting;
    (removed.isLate ? m_demand.late : m_demand.blocked) -= removed.summary.blocked;
    (removed.isLate ? m_demand.late : m_demand.running) -= removed.summary.placed;
    const auto spread = m_spreads.find(removed.summary.workersForSpread);
    if (removed.isLate || spread == m_spreads.end())
        return;
    if (--spread->second == 0)
        m_spreads.erase(spread);
    m_demand.workersForSpread = m_spreads.empty() ? 0 : m_spreads.rbegin()->first;
}

}
