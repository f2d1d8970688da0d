#include "Dispatch/OpenJob.h"

#include "Jobs/JobNames.h"

#include <algorithm>
#include <limits>

namespace Dispatch {

namespace {

    /// Tasks are assumed to take at least this share of their estimates.
    constexpr double minShareOfEstimate = 0.2;

    bool hasProgress(const task_state& task)
    {
        return task.phase != task_phase::Waiting || !task.failedRuns.empty() || !task.crashedRuns.empty()
            || !task.possibleCrashes.empty() || !task.unresolvedRuns.empty() || !task.checkpoint.empty();
    }

    std::vector<std::int64_t> toNumbers(const std::set<run_number>& runs)
    {
        std::vector<std::int64_t> numbers;
        for (const auto run : runs)
            numbers.push_back(run.value);
        return numbers;
    }

    Jobs::task_progress progressOf(const Jobs::task_name& name, const task_state& task)
    {
        Jobs::task_progress progress { .occurrence = name.occurrence, .step = name.step, .index = name.index };
        progress.isDone = task.phase == task_phase::Done;
        if (progress.isDone)
            return progress;
        progress.failedRuns = toNumbers(task.failedRuns);
        // The next leader can't find out whether the workers of unresolved runs crashed, so it assumes that they did.
        auto crashedRuns = task.crashedRuns;
        crashedRuns.insert(task.possibleCrashes.begin(), task.possibleCrashes.end());
        crashedRuns.insert(task.unresolvedRuns.begin(), task.unresolvedRuns.end());
        progress.crashedRuns = toNumbers(crashedRuns);
        progress.checkpoint = task.checkpoint;
        if (task.phase != task_phase::Placed)
            return progress;
        progress.worker = task.worker;
        progress.run = task.run.value;
        progress.incarnation = task.incarnation;
        return progress;
    }

}

open_job::open_job(const Jobs::job_record& record, const Jobs::job_progress& progress, run_number base)
    : state(progress.state)
    , isLogged(Jobs::showsStart(progress))
    , m_record(record)
    , m_lanes(progress.lanes.empty() ? std::vector<int> { 0 } : progress.lanes)
    , m_termBase(base)
    , m_hasLongRunningTasks(std::any_of(record.spec.steps.begin(), record.spec.steps.end(),
          [](const auto& step) { return step.isLongRunning; }))
{
    if (m_record.spec.repetitions <= 0)
        open(0);
    for (const auto& known : progress.tasks) {
        if (known.occurrence < 0 || known.occurrence >= occurrenceCount())
            continue;
        open(known.occurrence);
        const Jobs::task_name name { m_record.id, known.occurrence, known.step, known.index };
        auto* task = find(name);
        if (!task)
            continue;
        for (const auto run : known.failedRuns)
            task->failedRuns.insert({ run });
        for (const auto run : known.crashedRuns)
            task->crashedRuns.insert({ run });
        // The log doesn't tell which of them had just started.
        task->startCrashes = std::min<std::size_t>(1, task->crashedRuns.size());
        task->isPrimeSuspect = !task->crashedRuns.empty();
        m_hasLosses = m_hasLosses || !known.crashedRuns.empty();
        task->checkpoint = known.checkpoint;
        if (known.isDone)
            finish(name);
    }
}

run_number open_job::firstRun() const { return { Jobs::firstNumberOf(m_lanes.back()) + m_termBase.value }; }

void open_job::useLane(int lane)
{
    m_lanes.push_back(lane);
    for (auto& [number, occurrence] : m_occurrences) {
        for (auto& step : occurrence.steps) {
            for (auto& task : step.tasks)
                task.lastRun = std::max(task.lastRun, firstRun());
        }
    }
}

int open_job::occurrenceCount() const { return std::max(1, m_record.spec.repetitions); }

occurrence_state& open_job::open(int occurrence)
{
    auto& opened = m_occurrences[occurrence];
    if (!opened.steps.empty())
        return opened;
    noteChange();
    for (const auto& step : m_record.spec.steps) {
        task_state fresh;
        fresh.lastRun = firstRun();
        opened.steps.push_back({ .tasks = std::vector<task_state>(static_cast<std::size_t>(step.count), fresh) });
    }
    return opened;
}

void open_job::openDue(Common::wall_millis now)
{
    const auto& spec = m_record.spec;
    for (int occurrence = 0; occurrence < spec.repetitions; ++occurrence) {
        if (spec.firstStart.value + occurrence * spec.interval.count() > now.value)
            return;
        open(occurrence);
    }
}

task_state* open_job::find(const Jobs::task_name& name)
{
    const auto occurrence = m_occurrences.find(name.occurrence);
    if (occurrence == m_occurrences.end() || name.step < 0 || name.index < 0)
        return nullptr;
    auto& steps = occurrence->second.steps;
    if (name.step >= static_cast<int>(steps.size()))
        return nullptr;
    auto& tasks = steps[static_cast<std::size_t>(name.step)].tasks;
    if (name.index >= static_cast<int>(tasks.size()))
        return nullptr;
    return &tasks[static_cast<std::size_t>(name.index)];
}

bool open_job::isReady(const occurrence_state& occurrence, int step) const
{
    const auto& depends = m_record.spec.steps[static_cast<std::size_t>(step)].dependsOn;
    return std::all_of(depends.begin(), depends.end(), [&occurrence](int earlier) {
        return earlier >= 0 && earlier < static_cast<int>(occurrence.steps.size())
            && occurrence.steps[static_cast<std::size_t>(earlier)].isDone();
    });
}

bool open_job::isComplete() const
{
    if (static_cast<int>(m_occurrences.size()) < occurrenceCount())
        return false;
    for (const auto& [number, occurrence] : m_occurrences) {
        if (!std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                [](const step_state& step) { return step.isDone(); }))
            return false;
    }
    return true;
}

task_state* open_job::noteLoss(const Jobs::task_name& name)
{
    auto* task = find(name);
    if (!task || task->phase == task_phase::Done)
        return nullptr;
    m_hasLosses = true;
    return task;
}

bool open_job::isSuspect() const
{
    if (!m_hasLosses)
        return false;
    const auto isSuspectTask = [](const task_state& task) {
        return task.phase != task_phase::Done
            && (task.isPrimeSuspect || task.crashedRuns.size() + task.unresolvedRuns.size() > 1);
    };
    return std::any_of(m_occurrences.begin(), m_occurrences.end(), [&isSuspectTask](const auto& occurrence) {
        const auto& steps = occurrence.second.steps;
        return std::any_of(steps.begin(), steps.end(), [&isSuspectTask](const step_state& step) {
            return std::any_of(step.tasks.begin(), step.tasks.end(), isSuspectTask);
        });
    });
}

void open_job::place(const Jobs::task_name& name, const worker_incarnation& where, run_number run)
{
    auto* task = find(name);
    noteChange();
    task->phase = task_phase::Placed;
    task->worker = where.worker;
    task->incarnation = where.startedAt;
    task->run = run;
    task->awaitsConfirmation = false;
    task->lastRun = std::max(task->lastRun, run);
    ++m_occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)].placed;
}

void open_job::release(const Jobs::task_name& name, Common::instant notBefore)
{
    auto* task = find(name);
    if (!task || task->phase != task_phase::Placed)
        return;
    noteChange();
    task->phase = task_phase::Waiting;
    task->notBefore = notBefore;
    --m_occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)].placed;
}

void open_job::finish(const Jobs::task_name& name)
{
    auto* task = find(name);
    if (!task || task->phase == task_phase::Done)
        return;
    noteChange();
    auto& step = m_occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)];
    if (task->phase == task_phase::Placed)
        --step.placed;
    task->phase = task_phase::Done;
    ++step.done;
}

Jobs::job_progress open_job::progress() const
{
    Jobs::job_progress progress { .job = m_record.id, .state = state, .lanes = m_lanes };
    if (Jobs::isFinal(state))
        return progress;
    for (const auto& [number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (hasProgress(tasks[index]))
                    progress.tasks.push_back(progressOf(taskAt(m_record, number, static_cast<int>(step), index), tasks[index]));
            }
        }
    }
    return progress;
}

const job_summary& open_job::summary()
{
    if (!m_summary)
        m_summary = summarize();
    return *m_summary;
}

void open_job::reportChangesTo(std::vector<open_job*>* changed)
{
    m_summary.reset();
    m_changed = changed;
    if (m_changed)
        m_changed->push_back(this);
}

void open_job::noteChange()
{
    if (m_summary && m_changed)
        m_changed->push_back(this);
    m_summary.reset();
}

Common::wall_millis open_job::lateAfter() const
{
    if (m_hasLongRunningTasks)
        return { std::numeric_limits<std::int64_t>::max() };
    Common::millis longest { 0 };
    for (const auto& [number, occurrence] : m_occurrences)
        longest = std::max(longest, criticalPath(m_record.spec, &occurrence));
    const auto least = static_cast<double>(longest.count()) * minShareOfEstimate;
    return { dueAt.value - static_cast<std::int64_t>(least) };
}

job_summary open_job::summarize() const
{
    job_summary summary { .lateAfter = lateAfter() };
    for (const auto& [number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& state = occurrence.steps[step];
            const auto& spec = m_record.spec.steps[step];
            const auto open = static_cast<std::int64_t>(state.tasks.size()) - state.done - state.placed;
            const bool isStepReady = isReady(occurrence, static_cast<int>(step));
            if (open > 0 && isStepReady)
                summary.readySteps.push_back({ .occurrence = number, .step = static_cast<int>(step) });
            if (spec.isBestEffort)
                continue;
            const auto unfinished = static_cast<int>(state.tasks.size()) - state.done;
            if (spec.maxPerWorker > 0 && isStepReady)
                summary.workersForSpread = std::max(
                    summary.workersForSpread, (unfinished + spec.maxPerWorker - 1) / spec.maxPerWorker);
            (isStepReady ? summary.waiting : summary.blocked) += Jobs::times(spec.request, open);
            summary.placed += Jobs::times(spec.request, state.placed);
        }
    }
    return summary;
}

Common::millis criticalPath(const Jobs::job_spec& spec, const occurrence_state* done)
{
    std::vector<Common::millis> ends(spec.steps.size(), Common::millis(0));
    Common::millis longest { 0 };
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        Common::millis begin { 0 };
        for (const int earlier : spec.steps[step].dependsOn) {
            if (earlier >= 0 && earlier < static_cast<int>(step))
                begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        const bool isDone = done && done->steps[step].isDone();
        ends[step] = begin + (isDone ? Common::millis(0) : spec.steps[step].estimate);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

Jobs::task_name taskAt(const Jobs::job_record& job, int occurrence, int step, std::size_t index)
{
    return { .job = job.id, .occurrence = occurrence, .step = step, .index = static_cast<int>(index) };
}

}
