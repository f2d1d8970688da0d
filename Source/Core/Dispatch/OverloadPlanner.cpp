#include "Dispatch/OverloadPlanner.h"

#include <algorithm>

namespace Dispatch {

namespace {

    /// Time between two triages of a pool; new jobs wait for the next one among the first.
    constexpr Common::millis triageInterval { 50 };
    /// Part of the work that a task that runs has left, on average.
    constexpr double leftOfRunning = 0.5;

    /// Estimate of the job's tasks, on average.
    Common::millis meanEstimate(const Jobs::job_spec& spec)
    {
        std::int64_t sum = 0;
        std::int64_t count = 0;
        for (const auto& step : spec.steps) {
            sum += step.estimate.count() * step.count;
            count += step.count;
        }
        return Common::millis(count > 0 ? sum / count : 0);
    }

    Common::millicores processorOf(const Jobs::job_spec& spec)
    {
        Common::millicores sum;
        for (const auto& step : spec.steps) {
            if (!step.isBestEffort)
                sum.value += step.request.processor.value * step.count;
        }
        return sum;
    }

    processor_work workOf(double processor, Common::millis time)
    {
        return { static_cast<std::int64_t>(processor * static_cast<double>(time.count())) };
    }

    Common::millis expectedTime(const open_job& job, const run_times& times)
    {
        return times.expected(job.record().queue, meanEstimate(job.record().spec));
    }

    processor_work workOfRunning(open_job& job, const run_times& times)
    {
        return workOf(
            leftOfRunning * static_cast<double>(job.summary().placed.processor.value), expectedTime(job, times));
    }

    triage_job describe(open_job& job, const run_times& times)
    {
        const auto& record = job.record();
        const auto& summary = job.summary();
        const auto expected = expectedTime(job, times);
        const auto waiting = static_cast<double>(summary.waiting.processor.value + summary.blocked.processor.value);
        return { .team = record.team,
            .priority = job.priority,
            .dueAt = job.dueAt,
            .left = workOf(waiting, expected) + workOfRunning(job, times),
            .total = workOf(static_cast<double>(processorOf(record.spec).value), expected) };
    }

    bool isDueBefore(const open_job* left, const open_job* right)
    {
        return left->dueAt != right->dueAt ? left->dueAt < right->dueAt : left->record().id < right->record().id;
    }

    /// Jobs that can be on time, in order of their deadlines.
    std::vector<open_job*> candidatesOf(const job_order& jobs)
    {
        std::vector<open_job*> candidates;
        jobs.visit([&](open_job& job, bool isLate) {
            if (!isLate && !job.hasLongRunningTasks())
                candidates.push_back(&job);
        });
        std::sort(candidates.begin(), candidates.end(), isDueBefore);
        return candidates;
    }

}

bool overload_planner::isDue(
    const Common::pool_id& pool, const Rules::fleet_rules& rules, Common::instant now) const
{
    if (!rules.hasWeights())
        return false;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() || !found->second.doneAt || now - *found->second.doneAt >= triageInterval;
}

triage_changes overload_planner::update(const Common::pool_id& pool, const job_order& jobs,
    const Rules::fleet_rules& rules, const overload_view& view)
{
    auto& state = m_pools[pool];
    state.doneAt = view.now;
    const auto candidates = candidatesOf(jobs);
    // Whatever waits fits, or nothing can be said.
    if (jobs.demand().waiting.processor <= view.free || view.capacity.value <= 0)
        return replace(state, {}, candidates);
    triage_input input { .capacity = view.capacity, .now = view.wall };
    jobs.visit([&](open_job& job, bool isLate) {
        if (isLate)
            input.occupied += workOfRunning(job, m_runTimes);
    });
    for (const auto& team : rules.teams)
        input.shares[team.id] = { .weight = team.weight.value_or(1), .limit = team.limit.processor };
    for (auto* job : candidates) {
        input.jobs.push_back(describe(*job, m_runTimes));
        input.jobs.back().wasPostponed = state.postponed.contains(job->record().id.value);
    }
    std::vector<postponement> postponed;
    for (const auto index : chooseJobsToPostpone(input)) {
        const auto& job = input.jobs[index];
        postponed.push_back({ .job = candidates[index]->record().id,
            .team = job.team,
            .priority = job.priority,
            .dueIn = Common::millis(job.dueAt.value - view.wall.value),
            .left = job.left,
            .capacity = view.capacity });
    }
    return replace(state, postponed, candidates);
}

triage_changes overload_planner::replace(
    pool_state& state, const std::vector<postponement>& postponed, const std::vector<open_job*>& candidates)
{
    triage_changes changes;
    std::unordered_set<std::string> ids;
    for (const auto& job : postponed) {
        ids.insert(job.job.value);
        if (!state.postponed.contains(job.job.value))
            changes.postponed.push_back(job);
    }
    for (const auto* job : candidates) {
        const auto& id = job->record().id;
        if (state.postponed.contains(id.value) && !ids.contains(id.value))
            changes.resumed.push_back(id);
    }
    state.postponed = std::move(ids);
    return changes;
}

bool overload_planner::isShort(const Common::pool_id& pool) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && !found->second.postponed.empty();
}

start_sequence overload_planner::sequence(const Common::pool_id& pool, const job_order& jobs) const
{
    start_sequence sequence;
    const auto& postponed = m_pools.at(pool).postponed;
    for (auto* job : jobs.onTime())
        (postponed.contains(job->record().id.value) ? sequence.postponed : sequence.first).push_back(job);
    return sequence;
}

}
