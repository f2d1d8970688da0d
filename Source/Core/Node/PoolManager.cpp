#include "Node/PoolManager.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"
#include "Fleet/WorkRules.h"
#include "Requests/RequestParser.h"

#include <algorithm>

namespace Node {

namespace {

    using Requests::outcome;
    using Requests::refusal_reason;

    outcome outcomeOfRefusedIntent(const Fleet::fleet_state& state, const Requests::work_identity& identity,
        Fleet::rejection reason)
    {
        if (reason != Fleet::rejection::IdReused)
            return Requests::notRun(refusal_reason::HolderMoved);
        const auto found = state.works.find(identity);
        if (found != state.works.end() && found->second.phase == Fleet::work_phase::Finished)
            return found->second.result;
        return Requests::unknownOutcome(refusal_reason::IdReused);
    }

}

pool_manager::pool_manager(parts chosen)
    : m_parts(chosen)
    , m_moves(chosen.context)
{
    m_parts.permits.onRaised([this] { schedulePools(Common::boot_clock::now()); });
}

pool_manager::~pool_manager() = default;

pool_manager::held_pool* pool_manager::findOpenPool(const Common::pool_id& pool)
{
    const auto found = std::ranges::find_if(
        m_pools, [&pool](const held_pool& held) { return held.pool == pool && !held.closing; });
    return found == m_pools.end() ? nullptr : &*found;
}

const pool_manager::held_pool* pool_manager::heldPoolOfTask(const Common::task_id& task) const
{
    const auto found = std::ranges::find_if(
        m_pools, [&task](const held_pool& held) { return held.scheduler->findTask(task).has_value(); });
    return found == m_pools.end() ? nullptr : &*found;
}

pool_manager::held_pool* pool_manager::heldPoolOfInstance(const Common::instance_id& instance)
{
    const auto found = m_parts.context.state().instances.find(instance);
    return found == m_parts.context.state().instances.end() ? nullptr : findOpenPool(found->second.pool);
}

std::optional<Common::pool_id> pool_manager::poolOfQueue(const Common::queue_id& queue) const
{
    const auto found = m_parts.context.state().queues.find(queue);
    if (found == m_parts.context.state().queues.end())
        return std::nullopt;
    return found->second.pool;
}

std::optional<refusal_reason> pool_manager::checkKey(const forwarded_request& forwarded) const
{
    const auto& state = m_parts.context.state();
    const auto& identity = forwarded.request.identity;
    const auto queue = state.queues.find(identity.queue);
    if (queue == state.queues.end())
        return refusal_reason::QueueUnknown;
    if (queue->second.open && identity.team == Fleet::openTeam(identity.queue))
        return std::nullopt;
    const auto team = Fleet::teamOfKey(state, forwarded.key);
    if (!team)
        return refusal_reason::KeyWithdrawn;
    if (*team != identity.team)
        return refusal_reason::KeyOfOtherTeam;
    return std::nullopt;
}

std::optional<outcome> pool_manager::submitRequest(
    const forwarded_request& forwarded, Pool::waiter_id waiter, Common::instant now)
{
    const auto& identity = forwarded.request.identity;
    if (!m_parts.context.mayAct(now))
        return Requests::notRun(refusal_reason::ViewStale);
    const auto pool = poolOfQueue(identity.queue);
    held_pool* const held = pool ? findOpenPool(*pool) : nullptr;
    if (!held || held->scheduler->epoch() != forwarded.epoch || m_voided.contains(forwarded.forwardId))
        return Requests::notRun(refusal_reason::HolderMoved);
    if (const auto reason = checkKey(forwarded))
        return Requests::notRun(*reason);
    const auto known = m_parts.context.state().works.find(identity);
    if (known != m_parts.context.state().works.end() && !held->scheduler->find(identity)) {
        const auto& work = known->second;
        if (work.queued || work.payloadDigest != Common::contentDigest(forwarded.request.payload))
            return Requests::notRun(refusal_reason::IdReused);
        if (work.phase == Fleet::work_phase::Finished && work.result.kind != Requests::outcome_kind::NotRun)
            return work.result;
        if (work.phase == Fleet::work_phase::Intended) {
            m_outcomeWaiters[identity].push_back(waiter);
            return std::nullopt;
        }
    }
    if (!forwarded.request.idempotent && m_parts.context.leases().isLogUnavailable(now))
        return Requests::notRun(refusal_reason::LogUnavailable);
    const auto refused = held->scheduler->submit({ .request = forwarded.request, .waiter = waiter }, now);
    schedulePools(now);
    return refused;
}

std::optional<outcome> pool_manager::settle(
    const settle_query& query, Pool::waiter_id waiter, Common::instant now)
{
    if (!m_parts.context.mayAct(now))
        return Requests::unknownOutcome(refusal_reason::ViewStale);
    const auto pool = poolOfQueue(query.identity.queue);
    held_pool* const held = pool ? findOpenPool(*pool) : nullptr;
    if (!held)
        return Requests::unknownOutcome(refusal_reason::HolderMoved);
    m_voided[query.forwardId] = now + Requests::maxWaitingDeadline;
    const auto known = m_parts.context.state().works.find(query.identity);
    const bool hasRecord = known != m_parts.context.state().works.end();
    if (hasRecord && known->second.phase == Fleet::work_phase::Finished)
        return known->second.result;
    if (hasRecord || held->scheduler->find(query.identity)) {
        m_outcomeWaiters[query.identity].push_back(waiter);
        return std::nullopt;
    }
    // No intent is logged under any epoch and the forwarding is void, so the request can't start any more.
    return Requests::notRun(refusal_reason::HolderLost);
}

bool pool_manager::cancel(const Requests::work_identity& identity, Common::instant now)
{
    const auto pool = poolOfQueue(identity.queue);
    held_pool* const held = pool ? findOpenPool(*pool) : nullptr;
    const bool certain = held && held->scheduler->cancel(identity);
    schedulePools(now);
    return certain;
}

void pool_manager::onState(Common::instant now)
{
    dropUnheldPools();
    openPools(now);
    updateShares();
    updateWorkers();
    for (const auto& identity : m_parts.context.takeTouchedWorks())
        onWorkChanged(identity, now);
    checkIntents(now);
    schedulePools(now);
}

void pool_manager::onNewIncarnation(Common::instant)
{
    // Work of the earlier incarnation must end: its leases have expired and other daemons have taken over.
    for (held_pool& held : m_pools) {
        for (const auto& completed : held.scheduler->abandon()) {
            for (const auto waiter : completed.waiters)
                m_parts.waiters.complete(waiter, completed.result);
            completeOutcomeWaiters(completed.identity, completed.result);
        }
    }
    m_pools.clear();
    m_intents.clear();
    m_unresolved.clear();
    m_startedByEarlierHolder.clear();
    for (auto& [instance, session] : m_sessions) {
        session->requestStop();
        m_endedSessions.push_back(std::move(session));
    }
    m_sessions.clear();
}

void pool_manager::dropUnheldPools()
{
    std::erase_if(m_pools, [this](const held_pool& held) {
        const auto epoch = m_parts.context.heldEpoch(Fleet::poolShard(held.pool));
        const bool isOurs = epoch && *epoch == held.scheduler->epoch();
        return !isOurs && held.scheduler->isIdle();
    });
}

void pool_manager::openPools(Common::instant now)
{
    for (const auto& [shard, assignment] : m_parts.context.state().shards) {
        const auto pool = Fleet::poolOfShard(shard);
        if (pool && assignment.holder == m_parts.context.self())
            openPoolIfNew(*pool, assignment.epoch, now);
    }
}

void pool_manager::openPoolIfNew(const Common::pool_id& pool, Common::shard_epoch epoch, Common::instant now)
{
    const bool isKnown = std::ranges::any_of(
        m_pools, [&](const held_pool& held) { return held.pool == pool && held.scheduler->epoch() == epoch; });
    if (isKnown)
        return;
    auto permits = m_parts.permits.makeSource();
    const Pool::pool_scheduler::options options { .pool = pool,
        .epoch = epoch,
        .taskPrefix = m_parts.context.self().value + "." + std::to_string(epoch.value),
        .maxWaitingPerTeam = m_parts.context.settings().maxWaitingPerTeam };
    auto scheduler = std::make_unique<Pool::pool_scheduler>(options, *permits);
    m_pools.push_back({ .pool = pool, .permits = std::move(permits), .scheduler = std::move(scheduler) });
    updateWorkers();
    takeOverWork(m_pools.back(), now);
    Common::writeLog(Common::log_level::Info, Common::log_category::Pool, "holds pool " + pool.value);
}

void pool_manager::takeOverWork(held_pool& held, Common::instant now)
{
    for (const auto& [identity, work] : m_parts.context.state().works) {
        if (poolOfQueue(identity.queue) != held.pool)
            continue;
        if (work.phase == Fleet::work_phase::Queued)
            submitFromLog(held, identity, work, now);
        if (work.phase == Fleet::work_phase::Intended)
            m_startedByEarlierHolder.insert(identity);
    }
    adoptOrphans(now);
}

void pool_manager::adoptOrphans(Common::instant now)
{
    const auto& state = m_parts.context.state();
    std::erase_if(m_startedByEarlierHolder, [&](const Requests::work_identity& identity) {
        const auto work = state.works.find(identity);
        const bool isOpen = work != state.works.end() && work->second.phase == Fleet::work_phase::Intended;
        if (!isOpen || m_unresolved.contains(work->second.task))
            return true;
        const std::string& task = work->second.task.value;
        if (state.members.contains({ task.substr(0, task.find('.')) }))
            return false;
        adopt(identity, work->second, now);
        return true;
    });
}

void pool_manager::adopt(const Requests::work_identity& identity, const Fleet::work_record& work, Common::instant now)
{
    worker_session* const session = sessionOf(work.instance);
    if (!session) {
        recordOutcome(identity, Requests::unknownOutcome(refusal_reason::WorkerLost));
        return;
    }
    m_unresolved[work.task] = identity;
    session->adopt(work.task, now);
}

void pool_manager::submitFromLog(held_pool& held, const Requests::work_identity& identity,
    const Fleet::work_record& work, Common::instant now)
{
    const auto remaining = Common::millis((work.deadline - Common::wallNow()).value);
    const Requests::work_request request { .identity = identity,
        .needs = work.needs,
        .idempotent = work.idempotent,
        .remaining = remaining,
        .payload = work.payload };
    const auto refused = held.scheduler->submit({ .request = request, .fromLog = true, .waiter = {} }, now);
    if (refused)
        recordOutcome(identity, *refused);
}

void pool_manager::onWorkChanged(const Requests::work_identity& identity, Common::instant now)
{
    const auto found = m_parts.context.state().works.find(identity);
    if (found == m_parts.context.state().works.end())
        return;
    const Fleet::work_record& work = found->second;
    const auto pool = poolOfQueue(identity.queue);
    held_pool* const open = pool ? findOpenPool(*pool) : nullptr;
    switch (work.phase) {
    case Fleet::work_phase::Queued:
        if (open && !open->scheduler->find(identity))
            submitFromLog(*open, identity, work, now);
        break;
    case Fleet::work_phase::Intended:
        // Needed for a closing scheduler too: its pool is released only after its intents were applied.
        onIntentRecorded(identity, work, now);
        break;
    case Fleet::work_phase::Finished:
        completeOutcomeWaiters(identity, work.result);
        break;
    }
}

void pool_manager::onIntentRecorded(
    const Requests::work_identity& identity, const Fleet::work_record& work, Common::instant now)
{
    if (const held_pool* const held = heldPoolOfTask(work.task)) {
        held->scheduler->onIntentApplied(identity, now);
        return;
    }
    // The scheduler gave up the request before its intent was applied, so it never starts.
    if (work.task.value.starts_with(m_parts.context.self().value) && !m_unresolved.contains(work.task))
        recordOutcome(identity, Requests::notRun(refusal_reason::LogUnavailable));
}

void pool_manager::checkIntents(Common::instant now)
{
    std::erase_if(m_intents, [this, now](const auto& entry) {
        const auto result = Fleet::resultOf(m_parts.context.state(), entry.first);
        if (!result)
            return false;
        if (result->accepted())
            return true;
        const auto refusal = outcomeOfRefusedIntent(m_parts.context.state(), entry.second, result->reason);
        for (held_pool& held : m_pools)
            held.scheduler->onIntentRefused(entry.second, refusal, now);
        return true;
    });
}

void pool_manager::onInstanceList(const std::vector<Targets::listed_instance>& list, Common::instant now)
{
    m_listed.clear();
    for (const auto& instance : list)
        m_listed[instance.instance] = instance;
    updateWorkers();
    schedulePools(now);
}

void pool_manager::updateWorkers()
{
    const auto& state = m_parts.context.state();
    for (held_pool& held : m_pools) {
        if (held.closing)
            continue;
        std::vector<Pool::worker_info> workers;
        for (const auto& [name, instance] : state.instances) {
            const auto listed = m_listed.find(name);
            if (instance.pool != held.pool || listed == m_listed.end())
                continue;
            sessionOf(name);
            workers.push_back({ .instance = name,
                .capacity = listed->second.capacity,
                .slots = listed->second.slots,
                .open = Fleet::isOpenForWork(state, instance) && !listed->second.leaving });
        }
        held.scheduler->workers().setWorkers(workers);
    }
}

worker_session* pool_manager::sessionOf(const Common::instance_id& instance)
{
    const auto found = m_sessions.find(instance);
    const auto listed = m_listed.find(instance);
    const bool hasMoved = found != m_sessions.end() && listed != m_listed.end()
        && found->second->listed().address != listed->second.address && !found->second->hasTasks();
    if (found != m_sessions.end() && !hasMoved)
        return found->second.get();
    if (hasMoved) {
        found->second->requestStop();
        m_endedSessions.push_back(std::move(found->second));
        m_sessions.erase(found);
    }
    if (listed == m_listed.end())
        return nullptr;
    const worker_session::parts parts {
        .context = m_parts.context,
        .owner = *this,
        .executor = m_parts.executor,
        .outcomeMetrics = m_parts.outcomeMetrics
    };
    auto& added = m_sessions[instance];
    added = std::make_unique<worker_session>(parts, listed->second);
    return added.get();
}

void pool_manager::endIdleSessions()
{
    for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
        const bool isNeeded = heldPoolOfInstance(entry->first) && m_listed.contains(entry->first);
        if (isNeeded || entry->second->hasTasks()) {
            ++entry;
            continue;
        }
        entry->second->requestStop();
        m_endedSessions.push_back(std::move(entry->second));
        entry = m_sessions.erase(entry);
    }
}

std::vector<std::unique_ptr<worker_session>> pool_manager::takeEndedSessions()
{
    return std::exchange(m_endedSessions, {});
}

void pool_manager::updateShares()
{
    const auto& state = m_parts.context.state();
    for (held_pool& held : m_pools) {
        for (const auto& [name, account] : state.accounts) {
            for (const auto& team : account.productManager.teams)
                held.scheduler->setShare(team.team, team.share.value_or(Common::share_weight {}));
        }
    }
}

void pool_manager::schedulePools(Common::instant now)
{
    // Executing orders can call back here; the outer call handles the changes.
    if (m_isScheduling)
        return;
    m_isScheduling = true;
    scheduleHeldPools(now);
    m_parts.permits.exchange(now);
    // Permits of a ledger held by this daemon were granted synchronously.
    scheduleHeldPools(now);
    m_isScheduling = false;
}

void pool_manager::scheduleHeldPools(Common::instant now)
{
    const bool mayAct = m_parts.context.mayAct(now);
    for (held_pool& held : m_pools) {
        const auto epoch = m_parts.context.heldEpoch(Fleet::poolShard(held.pool));
        const bool mayStart = mayAct && !held.closing && epoch && *epoch == held.scheduler->epoch();
        held.scheduler->schedule(mayStart, now);
        execute(held.scheduler->takeOrders());
    }
}

void pool_manager::execute(Pool::scheduler_orders orders)
{
    for (const auto& intent : orders.intents) {
        const auto pool = poolOfQueue(intent.identity.queue);
        const auto epoch = pool ? m_parts.context.heldEpoch(Fleet::poolShard(*pool)) : std::nullopt;
        const auto id = m_parts.context.submitOwn(Fleet::intend_work { .identity = intent.identity,
            .epoch = epoch.value_or(Common::shard_epoch {}),
            .task = intent.task,
            .instance = intent.worker,
            .payloadDigest = intent.payloadDigest });
        m_intents[id] = intent.identity;
    }
    for (const auto& order : orders.starts)
        startOrRefuse(order);
    for (const auto& order : orders.stops) {
        if (worker_session* const session = sessionOf(order.worker))
            session->stopTask(order.task);
    }
    for (const auto& completed : orders.completions) {
        for (const auto waiter : completed.waiters)
            m_parts.waiters.complete(waiter, completed.result);
        completeOutcomeWaiters(completed.identity, completed.result);
        if (completed.recordInLog)
            recordOutcome(completed.identity, completed.result);
    }
}

void pool_manager::startOrRefuse(const Pool::start_order& order)
{
    if (worker_session* const session = sessionOf(order.worker))
        session->start(order);
    else
        onStart(order.task, Pool::start_result::Refused, Common::boot_clock::now());
}

void pool_manager::recordOutcome(const Requests::work_identity& identity, const outcome& result)
{
    m_parts.context.submitOwn(Fleet::finish_work { .identity = identity, .result = result });
}

void pool_manager::completeOutcomeWaiters(const Requests::work_identity& identity, const outcome& result)
{
    const auto found = m_outcomeWaiters.find(identity);
    if (found == m_outcomeWaiters.end())
        return;
    for (const auto waiter : found->second)
        m_parts.waiters.complete(waiter, result);
    m_outcomeWaiters.erase(found);
}

bool pool_manager::mayStart(const Pool::start_order& order, Common::instant now)
{
    const held_pool* const held = heldPoolOfTask(order.task);
    const auto& state = m_parts.context.state();
    const auto instance = state.instances.find(order.worker);
    if (!held || held->closing || !m_parts.context.mayAct(now) || instance == state.instances.end())
        return false;
    return instance->second.pool == held->pool && Fleet::isOpenForWork(state, instance->second);
}

bool pool_manager::owns(const Common::task_id& task) const
{
    return heldPoolOfTask(task) != nullptr;
}

void pool_manager::onStart(const Common::task_id& task, Pool::start_result result, Common::instant now)
{
    const held_pool* const held = heldPoolOfTask(task);
    if (!held)
        return;
    held->scheduler->onStart(task, result, now);
    if (result == Pool::start_result::Refused)
        schedulePools(now);
}

void pool_manager::onFinished(const Common::task_id& task, outcome result, Common::instant now)
{
    if (const held_pool* const held = heldPoolOfTask(task)) {
        held->scheduler->onFinished(task, std::move(result), now);
        schedulePools(now);
        return;
    }
    const auto unresolved = m_unresolved.find(task);
    if (unresolved == m_unresolved.end()) {
        m_parts.outcomeMetrics.onDroppedResult();
        return;
    }
    completeOutcomeWaiters(unresolved->second, result);
    recordOutcome(unresolved->second, result);
    m_unresolved.erase(unresolved);
}

void pool_manager::onLost(const Common::task_id& task, Common::instant now)
{
    if (const held_pool* const held = heldPoolOfTask(task)) {
        const auto view = held->scheduler->findTask(task);
        held->scheduler->onLost(task, now);
        // The result may still arrive when the worker is reachable again.
        if (view && m_parts.context.state().works.contains(view->identity))
            m_unresolved[task] = view->identity;
        schedulePools(now);
        return;
    }
    const auto unresolved = m_unresolved.find(task);
    if (unresolved == m_unresolved.end())
        return;
    const auto lost = Requests::unknownOutcome(refusal_reason::HolderLost);
    completeOutcomeWaiters(unresolved->second, lost);
    recordOutcome(unresolved->second, lost);
    m_unresolved.erase(unresolved);
}

void pool_manager::onReport(const Common::instance_id& instance, Requests::resources foreign,
    Common::slot_count foreignSlots, bool leaving, Common::instant now)
{
    held_pool* const held = heldPoolOfInstance(instance);
    if (!held)
        return;
    held->scheduler->workers().onReport(instance, foreign, foreignSlots, leaving);
    schedulePools(now);
}

void pool_manager::onSilent(const Common::instance_id& instance, Common::instant)
{
    if (held_pool* const held = heldPoolOfInstance(instance))
        held->scheduler->workers().onSilent(instance);
}

void pool_manager::tick(Common::instant now)
{
    schedulePools(now);
    adoptOrphans(now);
    const auto openSchedulerOf = [this](const Common::pool_id& pool) -> const Pool::pool_scheduler* {
        const held_pool* const held = findOpenPool(pool);
        return held ? held->scheduler.get() : nullptr;
    };
    m_moves.advance(openSchedulerOf, now);
    endIdleSessions();
    dropUnheldPools();
    std::erase_if(m_voided, [now](const auto& entry) { return entry.second < now; });
}

bool pool_manager::closePool(const Common::pool_id& pool)
{
    for (held_pool& held : m_pools) {
        if (held.pool != pool)
            continue;
        if (!held.closing) {
            held.closing = true;
            held.scheduler->close();
            execute(held.scheduler->takeOrders());
        }
        if (!held.scheduler->hasNoPendingStarts())
            return false;
    }
    return true;
}

std::vector<Common::pool_id> pool_manager::closingPools() const
{
    std::vector<Common::pool_id> pools;
    for (const held_pool& held : m_pools) {
        const auto epoch = m_parts.context.heldEpoch(Fleet::poolShard(held.pool));
        if (held.closing && epoch && *epoch == held.scheduler->epoch())
            pools.push_back(held.pool);
    }
    return pools;
}

bool pool_manager::isIdle() const
{
    return std::ranges::all_of(m_pools, [](const held_pool& held) { return held.scheduler->isIdle(); });
}

std::vector<pool_stats> pool_manager::pools() const
{
    std::vector<pool_stats> stats;
    for (const held_pool& held : m_pools) {
        stats.push_back({ .pool = held.pool,
            .epoch = held.scheduler->epoch(),
            .waiting = held.scheduler->waitingTotal(),
            .tasks = held.scheduler->tasks().size(),
            .usableWorkers = held.scheduler->workers().usableWorkers() });
    }
    return stats;
}

std::vector<Common::instance_id> pool_manager::unusableInstances() const
{
    std::vector<Common::instance_id> names;
    for (const auto& [name, instance] : m_parts.context.state().instances) {
        const auto listed = m_listed.find(name);
        if (listed == m_listed.end() || listed->second.leaving)
            names.push_back(name);
    }
    return names;
}

}
