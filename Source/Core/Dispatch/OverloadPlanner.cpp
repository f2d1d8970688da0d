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

}

triage_changes overload_planner::update(const Common::pool_id& pool, const job_order& jobs,
    const Rules::fleet_rules& rules, const overload_view& view)
{
    auto& state = m_pools[pool];
    if (state.doneAt && view.now - *state.doneAt < triageInterval)
        return {};
    // Whatever waits fits.
    if (!rules.hasWeights() || jobs.demand().waiting.processor <= view.free)
        return replace(state, {});
    state.doneAt = view.now;
    triage_input input { .capacity = view.capacity, .now = view.wall };
    std::vector<open_job*> candidates;
    jobs.visit([&](open_job& job, bool isLate) {
        if (isLate)
            input.occupied += workOfRunning(job, m_runTimes);
        else if (!job.hasLongRunningTasks())
            candidates.push_back(&job);
    });
    std::sort(candidates.begin(), candidates.end(), isDueBefore);
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
            .dueIn = Common::millis(job.dueAt.value - view.wall.value),
            .left = job.left,
            .capacity = view.capacity });
    }
    return replace(state, postponed);
}

triage_changes overload_planner::replace(pool_state& state, const std::vector<postponement>& postponed)
{
    triage_changes changes;
    std::unordered_set<std::string> ids;
    for (const auto& job : postponed) {
        ids.insert(job.job.value);
        if (!state.postponed.contains(job.job.value))
            changes.postponed.push_back(job);
    }
    for (const auto& id : state.postponed) {
        if (!ids.contains(id))
            changes.resumed.push_back({ id });
    }
    state.postponed = std::move(ids);
    return changes;
}

start_sequence overload_planner::sequence(const Common::pool_id& pool, const job_order& jobs) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.postponed.empty())
        return { .first = jobs.onTime() };
    start_sequence sequence;
    for (auto* job : jobs.onTime()) {
        const bool isPostponed = found->second.postponed.contains(job->record().id.value);
        (isPostponed ? sequence.postponed : sequence.first).push_back(job);
    }
    return sequence;
}

bool overload_planner::isShort(const Common::pool_id& pool) const { return postponedIn(pool) > 0; }

std::size_t overload_planner::postponedIn(const Common::pool_id& pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.postponed.size();
}

}
