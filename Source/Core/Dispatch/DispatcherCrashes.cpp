#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

/// Finds tasks that crash the workers that start them. What was lost with a worker counts as crashed once another
/// incarnation, or another worker, answers at its address. The tasks that had started just before the crash are suspected
/// as soon as they are lost. A suspected job starts on a worker on probation, on which nothing else starts at that time, so
/// that the next crash shows whether it is the cause.
namespace Dispatch {

namespace {

    /// Workers of a rack that stop answering within this time have a common cause, and no task is suspected for it.
    constexpr Common::millis commonCauseWindow { 150 };
    /// A task that may have crashed several workers waits at most this long for the evidence. Long-running tasks must be
    /// restarted sooner.
    constexpr Common::millis maxEvidenceWait { 15000 };
    constexpr Common::millis maxLongRunningEvidenceWait { 2500 };
    /// Losses are remembered for this time; a worker that crashed is back sooner.
    constexpr Common::millis lossLifetime { 60000 };
    /// Longest time from the planning of a start to its answer: the placement is stored first, then the order is sent.
    constexpr Common::millis maxStartTime { 1500 };

}

dispatcher::worker_loss dispatcher::lossOf(const worker_state& worker, Common::instant now)
{
    worker_loss loss { .incarnation = worker.incarnation(), .address = worker.entry.address, .lostAt = now };
    for (const auto& [name, run] : worker.runs) {
        if (!run.isSent || run.phase == run_phase::Planned)
            continue;
        // When an earlier leader's run started isn't known.
        const bool isOurs = run.phase != run_phase::Inherited;
        loss.runs.push_back(
            { .task = name, .run = run.run, .hasBegun = run.hasBegun, .startedAt = isOurs ? std::optional(run.startedAt) : std::nullopt });
    }
    markRecentStarts(worker, loss);
    loss.onlySuspect = onlySuspectOf(worker, loss);
    loss.hasCommonCause = hasCommonCause(worker);
    return loss;
}

void dispatcher::markRecentStarts(const worker_state& worker, worker_loss& loss)
{
    const auto hadJustStarted = [&worker](const lost_run& run) {
        return run.startedAt && worker.failedAt && std::chrono::abs(*worker.failedAt - *run.startedAt) <= startCrashWindow;
    };
    // Without a call that failed at the crash, the last report shows what had been running for longer.
    const auto isNotKnownToLast = [&worker](const lost_run& run) {
        return run.startedAt && worker.reportedAt - *run.startedAt <= startCrashWindow;
    };
    const bool wasNoticedAtOnce = std::any_of(loss.runs.begin(), loss.runs.end(), hadJustStarted);
    for (auto& run : loss.runs) {
        run.hadJustStarted = hadJustStarted(run);
        run.isRecent = wasNoticedAtOnce ? run.hadJustStarted : isNotKnownToLast(run);
    }
}

bool dispatcher::hasCommonCause(const worker_state& worker) const
{
    return worker.failedAt && std::any_of(m_workers.begin(), m_workers.end(), [&worker](const auto& entry) {
        const auto& other = entry.second;
        return other.entry.id != worker.entry.id && other.entry.rack == worker.entry.rack && other.failedAt
            && std::chrono::abs(*other.failedAt - *worker.failedAt) <= commonCauseWindow;
    });
}

std::optional<Common::job_id> dispatcher::onlySuspectOf(const worker_state& worker, const worker_loss& loss)
{
    // The worker crashed after its last report, so it may have been on probation then.
    if (!worker.isOnProbation(worker.reportedAt))
        return std::nullopt;
    const auto& suspect = worker.probation->job;
    std::size_t ofSuspect = 0;
    std::size_t ofOthers = 0;
    for (const auto& run : loss.runs)
        (run.task.job == suspect ? ofSuspect : ofOthers) += run.isRecent ? 1 : 0;
    return ofSuspect > 0 && ofOthers == 0 ? std::optional(suspect) : std::nullopt;
}

void dispatcher::suspectRecentStarts(const worker_loss& loss)
{
    if (loss.onlySuspect || loss.hasCommonCause)
        return;
    for (const auto& run : loss.runs) {
        auto* job = findJob(run.task.job);
        auto* task = run.isRecent && job ? job->noteLoss(run.task) : nullptr;
        if (!task || std::exchange(task->isPrimeSuspect, true))
            continue;
        observe({ .kind = dispatch_event_kind::CrashSuspected,
            .task = run.task,
            .worker = loss.incarnation.worker,
            .run = run.run });
    }
}

void dispatcher::noteSilentLoss(const worker_state& worker, Common::instant now)
{
    if (worker.isEndExpected())
        return;
    const auto loss = lossOf(worker, now);
    if (loss.runs.empty())
        return;
    suspectRecentStarts(loss);
    for (const auto& run : loss.runs) {
        auto* job = findJob(run.task.job);
        auto* task = job ? job->noteLoss(run.task) : nullptr;
        if (!task)
            continue;
        task->unresolvedRuns.insert(run.run);
        job->noteProgress(run.task);
        m_dirty.insert(run.task.job.value);
    }
    m_losses.push_back(loss);
}

std::vector<dispatcher::worker_loss> dispatcher::takeLosses(const Common::endpoint& address)
{
    std::vector<worker_loss> taken;
    // The address of a worker that isn't registered isn't known.
    if (address.port == 0)
        return taken;
    std::erase_if(m_losses, [&address, &taken](const auto& loss) {
        const bool isThere = loss.address == address;
        if (isThere)
            taken.push_back(loss);
        return isThere;
    });
    for (const auto& loss : taken)
        endEvidenceWait(loss);
    return taken;
}

void dispatcher::workerAnswers(const worker_state& worker)
{
    // It may have been cut off, or be the successor of a worker that crashed.
    for (const auto& loss : takeLosses(worker.entry.address)) {
        if (loss.incarnation != worker.incarnation())
            noteCrash(loss);
    }
}

void dispatcher::addressTaken(const worker_entry& entry)
{
    const worker_incarnation successor { .worker = entry.id, .startedAt = entry.incarnationStartedAt };
    const bool hasSuccessor = std::any_of(m_losses.begin(), m_losses.end(), [&](const auto& loss) {
        return loss.address == entry.address && loss.incarnation.startedAt < successor.startedAt;
    });
    if (!hasSuccessor)
        return;
    for (const auto& loss : takeLosses(entry.address))
        noteCrash(loss);
}

void dispatcher::endEvidenceWait(const worker_loss& loss)
{
    for (const auto& run : loss.runs) {
        auto* job = findJob(run.task.job);
        auto* task = job ? job->find(run.task) : nullptr;
        if (task && task->unresolvedRuns.erase(run.run) > 0)
            job->noteProgress(run.task);
    }
}

void dispatcher::endEvidenceWaits(Common::instant now)
{
    for (const auto& loss : m_losses) {
        for (const auto& run : loss.runs) {
            auto* job = findJob(run.task.job);
            auto* task = job ? job->find(run.task) : nullptr;
            if (!task)
                continue;
            const auto wait = job->spec(run.task).isLongRunning ? maxLongRunningEvidenceWait : maxEvidenceWait;
            if (now - loss.lostAt < wait || task->unresolvedRuns.erase(run.run) == 0)
                continue;
            job->noteProgress(run.task);
            // Without an address, nothing can show whether the worker crashed.
            if (loss.address.port == 0)
                task->possibleCrashes.insert(run.run);
        }
    }
    std::erase_if(m_losses, [now](const auto& loss) { return now - loss.lostAt >= lossLifetime; });
}

void dispatcher::noteCrash(const worker_loss& loss)
{
    for (const auto& run : loss.runs) {
        // The suspected job that had just started there explains the crash.
        if (loss.onlySuspect && run.task.job != *loss.onlySuspect)
            continue;
        auto* job = findJob(run.task.job);
        auto* task = job && !Jobs::isFinal(job->state) ? job->noteLoss(run.task) : nullptr;
        if (!task || task->crashedRuns.contains(run.run))
            continue;
        job->noteProgress(run.task);
        m_dirty.insert(run.task.job.value);
        if (run.hasBegun) {
            task->crashedRuns.insert(run.run);
            task->startCrashes += run.hadJustStarted ? 1 : 0;
            task->wasAlone = task->wasAlone || (loss.onlySuspect && run.hadJustStarted);
        } else {
            task->possibleCrashes.insert(run.run);
        }
        observe({ .kind = dispatch_event_kind::CrashNoted,
            .task = run.task,
            .worker = loss.incarnation.worker,
            .run = run.run });
        if (!isCausedBy(*task))
            continue;
        observe({ .kind = dispatch_event_kind::CrashingTaskGivenUp, .task = run.task, .run = run.run });
        conclude(*job, Jobs::job_state::Failed);
    }
}

bool dispatcher::isCausedBy(const task_state& task)
{
    return (task.wasAlone && task.startCrashes >= maxStartCrashes)
        || task.crashedRuns.size() + task.possibleCrashes.size() >= maxPossibleCrashes;
}

bool dispatcher::beginProbation(worker_state& worker, open_job& job, Common::instant now)
{
    const auto& id = job.record().id;
    const bool isNew = !worker.isOnProbation(now) || worker.probation->job != id;
    worker.probation = worker_probation { .job = id, .until = now + maxStartTime };
    job.probationUntil = worker.probation->until;
    return isNew;
}

void dispatcher::probationStarted(worker_state& worker, const Jobs::task_name& name, Common::instant now)
{
    if (!worker.isOnProbation(now) || worker.probation->job != name.job)
        return;
    worker.probation->until = now + startCrashWindow;
    if (auto* job = findJob(name.job))
        job->probationUntil = worker.probation->until;
}

void dispatcher::clearSuspicion(const worker_state& worker, const Jobs::task_name& name, task_state& task)
{
    if (task.crashedRuns.empty() && !task.isPrimeSuspect)
        return;
    task.crashedRuns.clear();
    task.startCrashes = 0;
    task.wasAlone = false;
    task.possibleCrashes.clear();
    task.isPrimeSuspect = false;
    if (auto* job = findJob(name.job))
        job->noteProgress(name);
    m_dirty.insert(name.job.value);
    observe({ .kind = dispatch_event_kind::CrashSuspicionCleared, .task = name, .worker = worker.entry.id });
}

std::size_t dispatcher::probationsIn(const Common::pool_id& pool, Common::instant now) const
{
    const auto& workers = workersOf(pool);
    return static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(), [now](const auto* worker) { return worker->isOnProbation(now); }));
}

}
