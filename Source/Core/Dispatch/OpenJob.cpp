#include "Dispatch/OpenJob.h"

#include "Jobs/HeldBytes.h"
#include "Jobs/JobNames.h"

#include <algorithm>
#include <limits>
#include <utility>

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
    , m_record(record)
    , m_lanes(progress.lanes.empty() ? std::vector<int> { 0 } : progress.lanes)
    , m_termBase(base)
    , m_division(record.spec)
    , m_hasLongRunningTasks(std::any_of(record.spec.steps.begin(), record.spec.steps.end(),
          [](const auto& step) { return step.isLongRunning; }))
{
    if (m_record.spec.repetitions <= 0)
        open(0);
    restore(progress);
}

void open_job::restore(const Jobs::job_progress& progress)
{
    isLogged = isLogged || Jobs::showsStart(progress);
    for (const auto& known : progress.tasks) {
        if (known.occurrence < 0 || known.occurrence >= occurrenceCount() || isOccurrenceDone(known.occurrence))
            continue;
        open(known.occurrence);
        const Jobs::task_name name { m_record.id, known.occurrence, known.step, known.index };
        if (known.isDone) {
            finish(name);
            continue;
        }
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
    }
    m_changedParts.clear();
}

run_number open_job::firstRun() const { return { Jobs::firstNumberOf(m_lanes.back()) + m_termBase.value }; }

void open_job::useLane(int lane)
{
    m_lanes.push_back(lane);
    for (auto& [number, occurrence] : m_occurrences) {
        for (auto& step : occurrence.steps) {
            for (auto& [index, task] : step.tracked())
                task.lastRun = std::max(task.lastRun, firstRun());
        }
    }
}

int open_job::occurrenceCount() const { return std::max(1, m_record.spec.repetitions); }

bool open_job::isOccurrenceDone(int occurrence) const
{
    return occurrence < m_doneBelow || m_doneOccurrences.contains(occurrence);
}

void open_job::closeIfDone(int occurrence)
{
    const auto open = m_occurrences.find(occurrence);
    const auto isStepDone = [](const step_state& step) { return step.isDone(); };
    if (!std::all_of(open->second.steps.begin(), open->second.steps.end(), isStepDone))
        return;
    m_occurrences.erase(open);
    m_doneOccurrences.insert(occurrence);
    while (m_doneOccurrences.erase(m_doneBelow) > 0)
        ++m_doneBelow;
}

occurrence_state& open_job::open(int occurrence)
{
    auto& opened = m_occurrences[occurrence];
    if (!opened.steps.empty())
        return opened;
    noteChange();
    for (const auto& step : m_record.spec.steps)
        opened.steps.emplace_back(step.count);
    return opened;
}

void open_job::openDue(Common::wall_millis now)
{
    const auto& spec = m_record.spec;
    const auto limit = static_cast<std::size_t>(Jobs::maxOpenOccurrences(spec));
    for (; m_nextOccurrence < spec.repetitions && m_occurrences.size() < limit; ++m_nextOccurrence) {
        if (spec.firstStart.value + m_nextOccurrence * spec.interval.count() > now.value)
            return;
        if (!isOccurrenceDone(m_nextOccurrence))
            open(m_nextOccurrence);
    }
}

task_state* open_job::find(const Jobs::task_name& name)
{
    const int steps = static_cast<int>(m_record.spec.steps.size());
    if (name.step < 0 || name.step >= steps || name.index < 0 || name.index >= spec(name).count)
        return nullptr;
    const auto occurrence = m_occurrences.find(name.occurrence);
    const bool isOpen = occurrence != m_occurrences.end();
    if (!isOpen && (name.occurrence < 0 || !isOccurrenceDone(name.occurrence)))
        return nullptr;
    auto* step = isOpen ? &occurrence->second.steps[static_cast<std::size_t>(name.step)] : nullptr;
    if (step && !step->isTaskDone(name.index))
        return &step->track(name.index, firstRun());
    m_finishedTask = { .phase = task_phase::Done };
    return &m_finishedTask;
}

bool open_job::isReady(const occurrence_state& occurrence, int step) const
{
    const auto& depends = m_record.spec.steps[static_cast<std::size_t>(step)].dependsOn;
    return std::all_of(depends.begin(), depends.end(), [&occurrence](int earlier) {
        return earlier >= 0 && earlier < static_cast<int>(occurrence.steps.size())
            && occurrence.steps[static_cast<std::size_t>(earlier)].isDone();
    });
}

bool open_job::isComplete() const { return m_doneBelow >= occurrenceCount(); }

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
    const auto isSuspectTask = [](const auto& tracked) {
        const auto& task = tracked.second;
        return task.isPrimeSuspect || task.crashedRuns.size() + task.unresolvedRuns.size() > 1;
    };
    return std::any_of(m_occurrences.begin(), m_occurrences.end(), [&isSuspectTask](const auto& occurrence) {
        const auto& steps = occurrence.second.steps;
        return std::any_of(steps.begin(), steps.end(), [&isSuspectTask](const step_state& step) {
            return std::any_of(step.tracked().begin(), step.tracked().end(), isSuspectTask);
        });
    });
}

void open_job::place(const Jobs::task_name& name, const worker_incarnation& where, run_number run)
{
    auto* task = find(name);
    noteChange();
    noteProgress(name);
    task->worker = where.worker;
    task->incarnation = where.startedAt;
    task->run = run;
    task->awaitsConfirmation = false;
    task->lastRun = std::max(task->lastRun, run);
    m_occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)].place(name.index);
}

void open_job::release(const Jobs::task_name& name, Common::instant notBefore)
{
    auto* task = find(name);
    if (!task || task->phase != task_phase::Placed)
        return;
    noteChange();
    noteProgress(name);
    task->notBefore = notBefore;
    m_occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)].release(name.index);
}

void open_job::finish(const Jobs::task_name& name)
{
    const auto* task = find(name);
    if (!task || task->phase == task_phase::Done)
        return;
    noteChange();
    noteProgress(name);
    m_occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)].finish(name.index);
    closeIfDone(name.occurrence);
}

void open_job::noteProgress(const Jobs::task_name& name)
{
    m_changedParts.insert(m_division.partOf({ .occurrence = name.occurrence, .step = name.step, .index = name.index }));
}

std::vector<Jobs::job_progress> open_job::takeProgress()
{
    std::vector<Jobs::job_progress> parts;
    const auto changed = std::exchange(m_changedParts, {});
    if (Jobs::isFinal(state))
        return { { .job = m_record.id, .state = state, .lanes = m_lanes } };
    for (const int part : changed)
        parts.push_back(progressOfPart(part));
    return parts;
}

Jobs::job_progress open_job::progressOfPart(int part) const
{
    Jobs::job_progress progress { .job = m_record.id, .state = state, .lanes = m_lanes, .part = part };
    for (const auto& range : m_division.rangesOf(part)) {
        const auto open = m_occurrences.find(range.occurrence);
        const bool isDone = isOccurrenceDone(range.occurrence);
        if (open == m_occurrences.end() && !isDone)
            continue;
        for (int index = range.first; index < range.last; ++index) {
            const Jobs::task_name name { m_record.id, range.occurrence, range.step, index };
            const auto* step = isDone ? nullptr : &open->second.steps[static_cast<std::size_t>(range.step)];
            if (!step || step->isTaskDone(index))
                progress.tasks.push_back(progressOf(name, { .phase = task_phase::Done }));
            else if (const auto* task = step->find(index); task && hasProgress(*task))
                progress.tasks.push_back(progressOf(name, *task));
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
            const std::int64_t open = state.waiting();
            const bool isStepReady = isReady(occurrence, static_cast<int>(step));
            if (open > 0 && isStepReady)
                summary.readySteps.push_back({ .occurrence = number, .step = static_cast<int>(step) });
            if (spec.isBestEffort)
                continue;
            const int unfinished = state.count() - state.done();
            if (spec.maxPerWorker > 0 && isStepReady)
                summary.workersForSpread = std::max(
                    summary.workersForSpread, (unfinished + spec.maxPerWorker - 1) / spec.maxPerWorker);
            (isStepReady ? summary.waiting : summary.blocked) += Jobs::times(spec.request, open);
            summary.placed += Jobs::times(spec.request, state.placed());
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

Jobs::task_name taskAt(const Jobs::job_record& job, int occurrence, int step, int index)
{
    return { .job = job.id, .occurrence = occurrence, .step = step, .index = index };
}

}
