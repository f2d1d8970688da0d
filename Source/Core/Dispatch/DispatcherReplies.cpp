#include "Dispatch/Dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Dispatch {

namespace {

    /// Delay before a worker that didn't answer is polled again.
    constexpr Common::millis pollRetryDelay { 150 };
    /// A worker gets no new work for this time after an order or poll without an answer.
    constexpr Common::millis noAnswerBackoff { 700 };
    /// A worker that isn't healthy, or is full although we count free resources, gets no new work for this time.
    constexpr Common::millis refusalBackoff { 300 };
    /// Delay before a task is started again after a permanent rejection.
    constexpr Common::millis rejectedStartDelay { 700 };
    /// After this many failures in a row the worker is suspected rather than its tasks.
    constexpr int suspectAfterFailures = 2;
    /// A worker whose tasks fail or stall gets no new work for this time.
    constexpr Common::millis failureBackoff { 2500 };
    /// A task without progress for this time is stopped and started elsewhere.
    constexpr Common::millis stallTimeout { 2000 };
    /// Delay before a long-running task that ended is restarted.
    constexpr Common::millis restartDelay { 150 };
    /// Delay of the next poll while ends aren't stored, since the worker would report the same ends again.
    constexpr Common::millis commitWait { 100 };

}

task_run& dispatcher::addRun(worker_state& worker, const Jobs::task_name& name, const task_run& run)
{
    dropRun(worker, name);
    m_usage.add(run.team, run.request);
    ++m_runsOfJobs[name.job.value][worker.entry.id];
    return worker.addRun(name, run);
}

void dispatcher::dropRun(worker_state& worker, const Jobs::task_name& name)
{
    const auto found = worker.runs.find(name);
    if (found == worker.runs.end())
        return;
    m_usage.remove(found->second.team, found->second.request);
    const auto runs = m_runsOfJobs.find(name.job.value);
    if (--runs->second[worker.entry.id] == 0)
        runs->second.erase(worker.entry.id);
    const auto job = name.job;
    worker.removeRun(name);
    if (!runs->second.empty())
        return;
    m_runsOfJobs.erase(runs);
    forgetNamesake(job);
}

void dispatcher::releaseRun(worker_state& worker, Jobs::task_name name, Common::instant notBefore)
{
    dropRun(worker, name);
    auto* job = findJob(name.job);
    const auto* task = job ? job->find(name) : nullptr;
    if (task && task->phase == task_phase::Placed && task->worker == worker.entry.id)
        job->release(name, notBefore);
}

void dispatcher::orderStop(worker_state& worker, const Jobs::task_name& name, stop_reason reason)
{
    auto& run = worker.runs.at(name);
    if (run.phase == run_phase::Stopping)
        return;
    worker.setPhase(run, run_phase::Stopping);
    observe({ .kind = dispatch_event_kind::StopOrdered,
        .task = name,
        .worker = worker.entry.id,
        .run = run.run,
        .stop = reason });
}

void dispatcher::loseAllRuns(worker_state& worker, Common::instant now)
{
    std::vector<Jobs::task_name> names;
    for (const auto& [name, run] : worker.runs)
        names.push_back(name);
    for (const auto& name : names)
        loseRun(worker, name, now);
}

void dispatcher::loseRun(worker_state& worker, const Jobs::task_name& name, Common::instant now)
{
    releaseRun(worker, name, now);
    auto* job = findJob(name.job);
    auto* task = job ? job->find(name) : nullptr;
    // Another leader may have read, stored and acknowledged the run's end.
    if (task && now >= m_confirmedUntil)
        task->awaitsConfirmation = true;
}

void dispatcher::suspect(worker_state& worker, Common::instant now, Common::millis time)
{
    const bool isNew = now >= worker.suspectedUntil && worker.unansweredPolls == 0;
    worker.suspectedUntil = std::max(worker.suspectedUntil, now + time);
    if (!isNew)
        return;
    observe({ .kind = dispatch_event_kind::WorkerSuspected, .worker = worker.entry.id });
}

void dispatcher::onStart(const start_order& order, const order_reply& reply, Common::instant now)
{
    auto* sender = acceptReply(order.worker, reply, now);
    auto* placedRun = findRun({ .task = order.task, .worker = order.worker.id, .run = order.run });
    if (!sender || !placedRun)
        return;
    auto& worker = *sender;
    auto& run = *placedRun;
    const dispatch_event event { .kind = dispatch_event_kind::StartRefused,
        .task = order.task,
        .worker = order.worker.id,
        .run = order.run,
        .outcome = reply.outcome,
        .answeredAfter = Common::elapsed(run.startedAt, now) };
    if (reply.outcome == order_outcome::Done) {
        if (run.phase == run_phase::Starting)
            worker.setPhase(run, run_phase::Running);
        run.startedAt = now;
        run.progressedAt = now;
        run.hasBegun = true;
        run.hasSeenStart = true;
        worker.lastStartAt = now;
        worker.lastStartJob = order.task.job;
        probationStarted(worker, order.task, now);
        if (auto* job = findJob(order.task.job))
            markRunning(*job);
        auto started = event;
        started.kind = dispatch_event_kind::Started;
        observe(started);
        worker.nextPollAt = std::min(worker.nextPollAt, now);
        return;
    }
    if (reply.outcome == order_outcome::NoAnswer) {
        auto unanswered = event;
        unanswered.kind = dispatch_event_kind::StartOutcomeUnknown;
        observe(unanswered);
        worker.failedAt = worker.failedAt.value_or(now);
        suspect(worker, now, noAnswerBackoff);
        orderStop(worker, order.task, stop_reason::StartUnanswered);
        return;
    }
    observe(event);
    if (reply.outcome == order_outcome::Unhealthy || reply.outcome == order_outcome::NoRoom)
        suspect(worker, now, refusalBackoff);
    if (reply.outcome == order_outcome::NotSent)
        suspect(worker, now, noAnswerBackoff);
    auto* job = findJob(order.task.job);
    if (job && reply.outcome == order_outcome::StaleRun)
        raiseLane(*job);
    const bool isPermanent = reply.outcome == order_outcome::Invalid || reply.outcome == order_outcome::NoTicket;
    releaseRun(worker, order.task, now + (isPermanent ? rejectedStartDelay : Common::millis(0)));
}

void dispatcher::onStop(const stop_order& order, const order_reply& reply, Common::instant now)
{
    auto* sender = acceptReply(order.worker, reply, now);
    auto* placedRun = findRun({ .task = order.task, .worker = order.worker.id, .run = order.run });
    if (!sender || !placedRun)
        return;
    auto& worker = *sender;
    // The order was sent again to the present incarnation.
    if (order.worker.incarnationStartedAt != worker.entry.incarnationStartedAt)
        return;
    placedRun->isStopInFlight = false;
    const bool isAccepted = reply.outcome == order_outcome::Done || reply.outcome == order_outcome::StaleRun;
    if (!isAccepted)
        return;
    placedRun->stopAcceptedAt = now;
    worker.nextPollAt = now + m_options.bounds.stopTime;
}

void dispatcher::onPace(const pace_order& order, const order_reply& reply)
{
    const auto found = m_workers.find(order.worker.id);
    if (found == m_workers.end() || reply.outcome == order_outcome::Done)
        return;
    const auto run = found->second.runs.find(order.task);
    // The order may not have been carried out; assuming full pace makes the next plan send it again if needed.
    if (run != found->second.runs.end() && run->second.run == order.run)
        run->second.pace = 100;
}

void dispatcher::onPollReply(
    const poll_order& order, const poll_order_reply& listed, Common::instant sentAt, Common::instant now)
{
    const auto reply = identifyAll(listed);
    const auto found = m_workers.find(order.worker.id);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    worker.isPollInFlight = false;
    const auto origin = originOf(worker, order.worker, reply.base);
    noteOrigin(worker, origin, reply.base, now);
    if (origin == reply_origin::Outdated || origin == reply_origin::OtherWorker)
        return;
    noteFence(worker, reply.base);
    if (reply.base.clock)
        worker.learnClock(*reply.base.clock, now);
    if (reply.base.outcome != order_outcome::Done) {
        worker.failedAt = worker.failedAt.value_or(now);
        if (worker.unansweredPolls++ == 0)
            observe({ .kind = dispatch_event_kind::WorkerUnresponsive,
                .worker = worker.entry.id,
                .outcome = reply.base.outcome });
        worker.nextPollAt = now + pollRetryDelay;
        suspect(worker, now, noAnswerBackoff);
        return;
    }
    if (order.worker.incarnationStartedAt == worker.entry.incarnationStartedAt)
        m_acknowledgedEnds[worker.entry.id] = std::max(m_acknowledgedEnds[worker.entry.id], order.acknowledgedEnd);
    worker.unansweredPolls = 0;
    worker.failedAt.reset();
    worker.hasReported = true;
    worker.hasListedAllEnds = worker.hasListedAllEnds || !reply.mayHaveMoreEnds;
    if (std::exchange(worker.isEndListCut, reply.mayHaveMoreEnds) != reply.mayHaveMoreEnds)
        observe({ .kind = reply.mayHaveMoreEnds ? dispatch_event_kind::EndListCut : dispatch_event_kind::EndListComplete,
            .worker = worker.entry.id });
    workerAnswers(worker);
    worker.reportedAt = now;
    for (const auto& end : reply.ended) {
        if (end.number <= worker.seenEnd)
            continue;
        worker.seenEnd = end.number;
        handleEnd(worker, end, now);
    }
    if (worker.seenEnd > worker.storedEnd)
        m_uncommittedEnds[worker.entry.id] = { worker.entry.incarnationStartedAt, worker.seenEnd };
    reconcile(worker, reply, sentAt, now);
    worker.nextPollAt = worker.seenEnd > worker.storedEnd ? now + commitWait : now;
}

void dispatcher::handleEnd(worker_state& worker, const listed_end& end, Common::instant now)
{
    observe({ .kind = dispatch_event_kind::Ended,
        .task = end.task,
        .worker = worker.entry.id,
        .run = end.run,
        .end = end.kind });
    const auto entry = worker.runs.find(end.task);
    const bool isCurrent = entry != worker.runs.end() && entry->second.run == end.run;
    auto* job = findJob(end.task.job);
    auto* task = job ? job->find(end.task) : nullptr;
    if (!task || Jobs::isFinal(job->state)) {
        if (isCurrent)
            dropRun(worker, end.task);
        return;
    }
    task->lastRun = std::max(task->lastRun, end.run);
    const bool isLongRunning = job->spec(end.task).isLongRunning;
    if (end.kind == end_kind::Done && !isLongRunning) {
        if (isCurrent && entry->second.hasSeenStart)
            m_overload.noteEnd(
                job->record().queue, job->spec(end.task).estimate, Common::elapsed(entry->second.startedAt, now));
        if (isCurrent)
            dropRun(worker, end.task);
        worker.failuresInRow = 0;
        handleDone(*job, end);
        return;
    }
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
        job->noteProgress(end.task);
        m_dirty.insert(end.task.job.value);
    }
    if (isCurrent)
        releaseRun(worker, end.task, now + (isLongRunning ? restartDelay : Common::millis(0)));
    if (end.kind == end_kind::Failed && !isLongRunning)
        handleFailure(*job, worker, end, now);
}

void dispatcher::handleDone(open_job& job, const listed_end& end)
{
    const auto& spec = job.spec(end.task);
    const auto first = spec.isGang ? 0 : end.task.index;
    const auto last = spec.isGang ? spec.count - 1 : end.task.index;
    for (int index = first; index <= last; ++index) {
        auto name = end.task;
        name.index = index;
        const auto* task = job.find(name);
        // Stops another run of the task, which is no longer needed.
        const auto elsewhere = task && task->phase == task_phase::Placed ? m_workers.find(task->worker) : m_workers.end();
        if (elsewhere != m_workers.end() && !spec.isGang && elsewhere->second.runs.contains(name))
            orderStop(elsewhere->second, name, stop_reason::TaskDone);
        job.finish(name);
    }
    m_dirty.insert(job.record().id.value);
    markRunning(job);
    if (job.isComplete())
        conclude(job, Jobs::job_state::Completed);
}

void dispatcher::handleFailure(open_job& job, worker_state& worker, const listed_end& end, Common::instant now)
{
    if (++worker.failuresInRow >= suspectAfterFailures)
        suspect(worker, now, failureBackoff);
    auto* task = job.find(end.task);
    // Workers report ends that an earlier leader has counted again until they are acknowledged.
    if (task->phase == task_phase::Done || !task->failedRuns.insert(end.run).second)
        return;
    task->failedOn = worker.entry.id;
    job.noteProgress(end.task);
    m_dirty.insert(job.record().id.value);
    const auto* queue = queueOf(job);
    if (queue && static_cast<int>(task->failedRuns.size()) >= queue->maxAttempts)
        conclude(job, Jobs::job_state::Failed);
}

void dispatcher::reconcile(
    worker_state& worker, const poll_order_reply& reply, Common::instant sentAt, Common::instant now)
{
    std::set<std::pair<Jobs::task_name, run_number>> listed;
    for (const auto& run : reply.running) {
        listed.emplace(run.task, run.run);
        reconcileRun(worker, run, now);
    }
    // Without the whole list of ends, what isn't listed may have ended. Its task and its share of the worker wait.
    if (reply.mayHaveMoreEnds)
        return;
    settleOpenLoss(worker, listed, sentAt);
    std::vector<Jobs::task_name> missing;
    worker_loss crash { .incarnation = worker.incarnation(), .address = worker.entry.address, .lostAt = now };
    for (const auto& [name, run] : worker.runs) {
        if (listed.contains({ name, run.run }))
            continue;
        const bool wasRunning
            = run.phase == run_phase::Inherited || (run.phase == run_phase::Running && run.startedAt < sentAt);
        const bool isStopped = run.phase == run_phase::Stopping && run.stopAcceptedAt
            && *run.stopAcceptedAt + m_options.bounds.stopTime <= sentAt;
        if (wasRunning || isStopped)
            missing.push_back(name);
        if (run.phase == run_phase::Inherited && isOfEarlierIncarnation(worker, name))
            crash.runs.push_back({ .task = name, .run = run.run });
    }
    for (const auto& name : missing) {
        observe({ .kind = dispatch_event_kind::RunMissing, .task = name, .worker = worker.entry.id });
        loseRun(worker, name, now);
    }
    noteCrash(crash);
}

void dispatcher::reconcileRun(worker_state& worker, const listed_run& listed, Common::instant now)
{
    const auto entry = worker.runs.find(listed.task);
    if (entry != worker.runs.end() && entry->second.phase == run_phase::Inherited) {
        releaseRun(worker, listed.task, now);
    } else if (entry != worker.runs.end()) {
        if (entry->second.run == listed.run)
            updateRun(worker, listed.task, entry->second, listed, now);
        return;
    }
    auto* job = findJob(listed.task.job);
    const auto* task = job ? job->find(listed.task) : nullptr;
    if (task && supersedesInherited(listed.task, *task, listed))
        releaseRun(m_workers.at(task->worker), listed.task, now);
    const bool isWanted = task && task->phase == task_phase::Waiting && !Jobs::isFinal(job->state);
    const task_run unknown { .run = listed.run,
        .phase = run_phase::Running,
        .isSizeUnknown = true,
        .startedAt = now,
        .progressedAt = now };
    auto& run = addRun(worker, listed.task, task ? runOf(*job, listed.task, listed.run, run_phase::Running, now) : unknown);
    run.hasBegun = true;
    run.isListed = true;
    if (isWanted)
        adopt(worker, *job, listed);
    else
        orderStop(worker, listed.task, stop_reason::NotWanted);
}

bool dispatcher::supersedesInherited(
    const Jobs::task_name& name, const task_state& task, const listed_run& listed) const
{
    const auto worker = task.phase == task_phase::Placed ? m_workers.find(task.worker) : m_workers.end();
    if (worker == m_workers.end())
        return false;
    const auto run = worker->second.runs.find(name);
    return run != worker->second.runs.end() && run->second.phase == run_phase::Inherited
        && run->second.run < listed.run;
}

void dispatcher::adopt(worker_state& worker, open_job& job, const listed_run& listed)
{
    observe({ .kind = dispatch_event_kind::Adopted,
        .task = listed.task,
        .worker = worker.entry.id,
        .run = listed.run });
    job.place(listed.task, worker.incarnation(), listed.run);
    m_dirty.insert(job.record().id.value);
    markRunning(job);
}

void dispatcher::markRunning(open_job& job)
{
    if (job.state != Jobs::job_state::Pending)
        return;
    job.state = Jobs::job_state::Running;
    job.noteState();
    m_dirty.insert(job.record().id.value);
}

void dispatcher::updateRun(worker_state& worker, const Jobs::task_name& name, task_run& run,
    const listed_run& listed, Common::instant now)
{
    run.load = listed.load;
    run.hasBegun = true;
    run.isListed = true;
    if (listed.percent.value != run.percent) {
        run.percent = static_cast<int>(listed.percent.value);
        run.progressedAt = now;
    }
    if (auto* job = findJob(name.job); job && !listed.checkpoint.empty()) {
        if (auto* task = job->find(name)) {
            task->checkpoint = listed.checkpoint;
            job->noteProgress(name);
        }
    }
    if (run.phase == run_phase::Running && now - run.startedAt >= survivalTime) {
        auto* job = findJob(name.job);
        if (auto* task = job && job->hasLosses() ? job->find(name) : nullptr)
            clearSuspicion(worker, name, *task);
    }
    const bool isStalled = !run.isLongRunning && !run.isBestEffort && run.phase == run_phase::Running
        && now - run.progressedAt > stallTimeout;
    if (!isStalled)
        return;
    observe({ .kind = dispatch_event_kind::Stalled, .task = name, .worker = worker.entry.id, .run = run.run });
    suspect(worker, now, failureBackoff);
    orderStop(worker, name, stop_reason::Stalled);
}

void dispatcher::conclude(open_job& job, Jobs::job_state state)
{
    if (Jobs::isFinal(job.state))
        return;
    job.state = state;
    job.noteChange();
    m_dirty.insert(job.record().id.value);
    observe({ .kind = dispatch_event_kind::JobFinished, .task = { .job = job.record().id }, .state = state });
    stopRunsOf(job.record().id);
}

void dispatcher::stopRunsOf(const Common::job_id& id)
{
    const auto found = m_runsOfJobs.find(id.value);
    if (found == m_runsOfJobs.end())
        return;
    constexpr int least = std::numeric_limits<int>::min();
    for (const auto& [workerId, count] : found->second) {
        auto& worker = m_workers.at(workerId);
        auto run = worker.runs.lower_bound({ .job = id, .occurrence = least, .step = least, .index = least });
        for (; run != worker.runs.end() && run->first.job == id; ++run)
            orderStop(worker, run->first, stop_reason::JobFinished);
    }
}

bool dispatcher::mayDisrupt(open_job& job, const Jobs::task_name& name) const
{
    const auto& spec = job.spec(name);
    if (!spec.isLongRunning)
        return true;
    const auto occurrence = job.occurrences().find(name.occurrence);
    if (occurrence == job.occurrences().end())
        return true;
    int others = 0;
    for (const auto& [index, task] : occurrence->second.steps[static_cast<std::size_t>(name.step)].tracked()) {
        if (index == name.index || task.phase != task_phase::Placed)
            continue;
        const auto worker = m_workers.find(task.worker);
        const auto other = taskAt(job.record(), name.occurrence, name.step, index);
        // A worker that doesn't answer may have crashed.
        const bool isAtWork = worker != m_workers.end() && !worker->second.failedAt && worker->second.runs.contains(other)
            && worker->second.runs.at(other).phase == run_phase::Running && worker->second.runs.at(other).percent >= 100;
        others += isAtWork ? 1 : 0;
    }
    return spec.count - 1 - others < spec.disruptionBudget;
}

void dispatcher::evictLongRunning(const Common::worker_id& id)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    for (auto& [name, run] : worker.runs) {
        if (run.phase != run_phase::Running || (!run.isLongRunning && !run.isBestEffort))
            continue;
        auto* job = findJob(name.job);
        if (!job || mayDisrupt(*job, name))
            orderStop(worker, name, stop_reason::Evicted);
    }
}

}
