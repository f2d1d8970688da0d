#include "Pool/PoolScheduler.h"

#include "Common/Hashing.h"

#include <algorithm>
#include <utility>

namespace Pool {

namespace {

    /// Attempts of an idempotent request before its failure is returned to the caller.
    constexpr int maxAttempts = 3;
    /// Refusals after which a request no longer avoids the workers that refused it.
    constexpr int maxRefusals = 5;
    /// Assumed run time of a team's tasks until the first one has ended, in milliseconds.
    constexpr double defaultRunMillis = 100;
    /// Weight of the newest run time in a team's moving average.
    constexpr double newestRunWeight = 0.2;
    /// A request is refused on arrival only if its expected wait is more than this many times its remaining time.
    constexpr double unreachableFactor = 2;

    using Requests::outcome;
    using Requests::refusal_reason;

}

pool_scheduler::pool_scheduler(options chosen, permit_source& permits)
    : m_options(std::move(chosen))
    , m_permits(permits)
{
}

std::optional<outcome> pool_scheduler::submit(submitted_work work, Common::instant now)
{
    const auto& identity = work.request.identity;
    if (m_closed)
        return Requests::notRun(refusal_reason::HolderMoved);
    const std::string digest = Common::contentDigest(work.request.payload);
    const auto known = m_tasks.find(identity);
    if (known != m_tasks.end()) {
        if (known->second.payloadDigest != digest)
            return Requests::notRun(refusal_reason::IdReused);
        if (work.waiter)
            known->second.waiters.push_back(*work.waiter);
        return std::nullopt;
    }
    if (m_workers.usableWorkers() > 0 && !m_workers.fitsAnyWorker(work.request.needs))
        return Requests::notRun(refusal_reason::NeverFits);
    if (!work.fromLog && m_queue.waiting(identity.team) >= m_options.maxWaitingPerTeam)
        return Requests::notRun(refusal_reason::QueueFull);
    if (!work.fromLog && isDeadlineUnreachable(work))
        return Requests::notRun(refusal_reason::DeadlineUnreachable);
    task added { .work = std::move(work), .payloadDigest = digest };
    added.deadline = now + added.work.request.remaining;
    if (added.work.waiter)
        added.waiters.push_back(*added.work.waiter);
    const auto key = added.work.request.identity;
    m_queue.add(key, added.deadline);
    m_tasks.emplace(key, std::move(added));
    return std::nullopt;
}

bool pool_scheduler::isDeadlineUnreachable(const submitted_work& work) const
{
    const auto& team = work.request.identity.team;
    const auto running = m_runningTasks.find(team);
    if (running == m_runningTasks.end() || running->second == 0)
        return false;
    const double ahead = static_cast<double>(m_queue.waiting(team)) * estimatedRunMillis(team);
    const double expected = ahead / running->second;
    return expected > unreachableFactor * static_cast<double>(work.request.remaining.count());
}

double pool_scheduler::estimatedRunMillis(const Common::team_id& team) const
{
    const auto found = m_runMillis.find(team);
    return found == m_runMillis.end() ? defaultRunMillis : found->second;
}

void pool_scheduler::schedule(bool mayStart, Common::instant now)
{
    for (const auto& identity : m_queue.overdue(now))
        complete(identity, Requests::notRun(refusal_reason::DeadlinePassed));
    expireIntents(now);
    if (mayStart && !m_closed)
        m_queue.startAll([this, now](const Requests::work_identity& identity) { return tryStart(identity, now); });
    publishWaiting();
}

void pool_scheduler::expireIntents(Common::instant now)
{
    std::vector<Requests::work_identity> overdue;
    for (const auto& [identity, entry] : m_tasks) {
        if (entry.phase == task_phase::RecordingIntent && entry.deadline <= now)
            overdue.push_back(identity);
    }
    // Removing the task makes "not run" certain: only this scheduler could have started it.
    for (const auto& identity : overdue)
        onIntentRefused(identity, Requests::notRun(refusal_reason::LogUnavailable), now);
}

void pool_scheduler::publishWaiting()
{
    for (const auto& team : m_queue.teams())
        m_permits.setWaiting(team, { static_cast<std::int64_t>(m_queue.waiting(team)) });
}

start_attempt pool_scheduler::tryStart(const Requests::work_identity& identity, Common::instant now)
{
    task& entry = m_tasks.at(identity);
    const auto& request = entry.work.request;
    auto worker = m_workers.choose(request.needs, request.idempotent, entry.tried, now);
    if (!worker && !entry.tried.empty())
        worker = m_workers.choose(request.needs, request.idempotent, {}, now);
    if (!worker)
        return start_attempt::NoRoom;
    if (!m_permits.tryAcquire(identity.team))
        return start_attempt::NoPermit;
    assign(entry, *worker, now);
    if (request.idempotent || entry.intentApplied) {
        orderStart(entry);
        return start_attempt::Started;
    }
    entry.phase = task_phase::RecordingIntent;
    m_orders.intents.push_back({ .identity = identity,
        .task = entry.id,
        .worker = entry.worker,
        .payloadDigest = entry.payloadDigest });
    return start_attempt::Started;
}

void pool_scheduler::assign(task& entry, const Common::instance_id& worker, Common::instant now)
{
    const auto& request = entry.work.request;
    if (entry.attempts == 0)
        m_retries.onFirstAttempt();
    ++entry.attempts;
    entry.worker = worker;
    entry.startedAt = now;
    entry.id = { m_options.taskPrefix + "." + std::to_string(m_nextTask++) };
    m_byTask[entry.id] = request.identity;
    m_workers.allocate(worker, request.needs);
    ++m_runningTasks[request.identity.team];
    entry.chargedSlotMillis = m_workers.slotsTaken(worker, request.needs) * estimatedRunMillis(request.identity.team);
    m_queue.charge(request.identity.team, entry.chargedSlotMillis);
}

void pool_scheduler::orderStart(task& entry)
{
    entry.phase = task_phase::Starting;
    m_orders.starts.push_back({ .identity = entry.work.request.identity,
        .task = entry.id,
        .worker = entry.worker,
        .needs = entry.work.request.needs,
        .payload = entry.work.request.payload });
}

void pool_scheduler::release(task& entry, Common::instant now)
{
    const auto& request = entry.work.request;
    const auto actualMillis = static_cast<double>(Common::elapsed(entry.startedAt, now).count());
    const double actual = m_workers.slotsTaken(entry.worker, request.needs) * actualMillis;
    m_queue.charge(request.identity.team, actual - entry.chargedSlotMillis);
    m_workers.deallocate(entry.worker, request.needs);
    m_permits.release(request.identity.team);
    --m_runningTasks[request.identity.team];
    m_byTask.erase(entry.id);
}

void pool_scheduler::requeue(task& entry)
{
    if (m_closed && !entry.work.fromLog) {
        complete(entry.work.request.identity, Requests::notRun(refusal_reason::HolderMoved));
        return;
    }
    entry.phase = task_phase::Waiting;
    m_queue.add(entry.work.request.identity, entry.deadline);
}

void pool_scheduler::complete(const Requests::work_identity& identity, outcome result)
{
    const auto found = m_tasks.find(identity);
    if (found == m_tasks.end())
        return;
    m_queue.remove(identity);
    const bool record = found->second.work.fromLog || found->second.intentApplied;
    m_orders.completions.push_back({ .identity = identity,
        .waiters = std::move(found->second.waiters),
        .result = std::move(result),
        .recordInLog = record });
    m_tasks.erase(found);
}

void pool_scheduler::onIntentApplied(const Requests::work_identity& identity, Common::instant now)
{
    const auto found = m_tasks.find(identity);
    if (found == m_tasks.end() || found->second.phase != task_phase::RecordingIntent)
        return;
    task& entry = found->second;
    entry.intentApplied = true;
    if (now < entry.deadline) {
        orderStart(entry);
        return;
    }
    release(entry, now);
    complete(identity, Requests::notRun(refusal_reason::DeadlinePassed));
}

void pool_scheduler::onIntentRefused(const Requests::work_identity& identity, outcome result, Common::instant now)
{
    const auto found = m_tasks.find(identity);
    if (found == m_tasks.end() || found->second.phase != task_phase::RecordingIntent)
        return;
    release(found->second, now);
    complete(identity, std::move(result));
}

void pool_scheduler::onStart(const Common::task_id& id, start_result result, Common::instant now)
{
    task* const entry = taskById(id);
    if (!entry || entry->phase != task_phase::Starting)
        return;
    if (result == start_result::Accepted)
        entry->phase = task_phase::Running;
    // A start whose outcome is unknown stays pending until the worker reports the task or is known to be gone.
    if (result != start_result::Refused)
        return;
    release(*entry, now);
    --entry->attempts;
    ++entry->refusals;
    if (entry->refusals <= maxRefusals)
        entry->tried.insert(entry->worker);
    else
        entry->tried.clear();
    requeue(*entry);
}

void pool_scheduler::onFinished(const Common::task_id& id, outcome result, Common::instant now)
{
    task* const entry = taskById(id);
    if (!entry)
        return;
    const bool failed = result.kind != Requests::outcome_kind::Done;
    const auto& team = entry->work.request.identity.team;
    m_workers.onResult(entry->worker, entry->work.request.identity.request.value, failed, now);
    if (!failed) {
        const auto ran = static_cast<double>(Common::elapsed(entry->startedAt, now).count());
        m_runMillis[team] = estimatedRunMillis(team) * (1 - newestRunWeight) + ran * newestRunWeight;
    }
    release(*entry, now);
    const bool retry = failed && entry->work.request.idempotent && entry->attempts < maxAttempts
        && now < entry->deadline && m_retries.tryRetry();
    if (retry) {
        entry->tried.insert(entry->worker);
        requeue(*entry);
        return;
    }
    complete(entry->work.request.identity, std::move(result));
}

void pool_scheduler::onLost(const Common::task_id& id, Common::instant now)
{
    onFinished(id, Requests::unknownOutcome(refusal_reason::WorkerLost), now);
}

bool pool_scheduler::cancel(const Requests::work_identity& identity)
{
    const auto found = m_tasks.find(identity);
    if (found == m_tasks.end())
        return false;
    if (found->second.phase == task_phase::Waiting) {
        complete(identity, Requests::notRun(refusal_reason::Cancelled));
        return true;
    }
    if (found->second.phase == task_phase::Running)
        m_orders.stops.push_back({ .task = found->second.id, .worker = found->second.worker });
    return false;
}

void pool_scheduler::close()
{
    m_closed = true;
    std::vector<Requests::work_identity> waiting;
    for (const auto& [identity, entry] : m_tasks) {
        if (entry.phase == task_phase::Waiting)
            waiting.push_back(identity);
    }
    for (const auto& identity : waiting) {
        if (m_tasks.at(identity).work.fromLog) {
            m_queue.remove(identity);
            m_tasks.erase(identity);
        } else {
            complete(identity, Requests::notRun(refusal_reason::HolderMoved));
        }
    }
    publishWaiting();
}

std::vector<completion> pool_scheduler::abandon()
{
    std::vector<completion> completed;
    for (auto& [identity, entry] : m_tasks) {
        const bool unsent = entry.phase == task_phase::Waiting || entry.phase == task_phase::RecordingIntent;
        completed.push_back({ .identity = identity,
            .waiters = std::move(entry.waiters),
            .result = unsent ? Requests::notRun(refusal_reason::HolderMoved)
                             : Requests::unknownOutcome(refusal_reason::HolderLost),
            .recordInLog = false });
    }
    m_tasks.clear();
    m_byTask.clear();
    return completed;
}

bool pool_scheduler::hasNoPendingStarts() const
{
    return std::ranges::none_of(m_tasks, [](const auto& entry) {
        return entry.second.phase == task_phase::RecordingIntent || entry.second.phase == task_phase::Starting;
    });
}

pool_scheduler::task* pool_scheduler::taskById(const Common::task_id& id)
{
    const auto found = m_byTask.find(id);
    return found == m_byTask.end() ? nullptr : &m_tasks.at(found->second);
}

std::optional<pool_scheduler::task_view> pool_scheduler::find(const Requests::work_identity& identity) const
{
    const auto found = m_tasks.find(identity);
    if (found == m_tasks.end())
        return std::nullopt;
    const task& entry = found->second;
    return task_view { .identity = identity, .task = entry.id, .worker = entry.worker, .phase = entry.phase };
}

std::optional<pool_scheduler::task_view> pool_scheduler::findTask(const Common::task_id& id) const
{
    const auto found = m_byTask.find(id);
    return found == m_byTask.end() ? std::nullopt : find(found->second);
}

std::vector<pool_scheduler::task_view> pool_scheduler::tasks() const
{
    std::vector<task_view> views;
    for (const auto& [identity, entry] : m_tasks)
        views.push_back({ .identity = identity, .task = entry.id, .worker = entry.worker, .phase = entry.phase });
    return views;
}

scheduler_orders pool_scheduler::takeOrders()
{
    return std::exchange(m_orders, {});
}

}
