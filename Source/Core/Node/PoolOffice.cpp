#include "Node/PoolOffice.h"

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

pool_office::pool_office(parts chosen)
    : m_parts(chosen)
    , m_moves(chosen.hub)
{
    m_parts.permits.onRaised([this] { pump(Common::boot_clock::now()); });
}

pool_office::~pool_office() = default;

pool_office::held_desk* pool_office::openDesk(const Common::pool_id& pool)
{
    const auto found = std::ranges::find_if(
        m_desks, [&pool](const held_desk& held) { return held.pool == pool && !held.closing; });
    return found == m_desks.end() ? nullptr : &*found;
}

const pool_office::held_desk* pool_office::deskOfTask(const Common::task_id& task) const
{
    const auto found = std::ranges::find_if(
        m_desks, [&task](const held_desk& held) { return held.desk->findTask(task).has_value(); });
    return found == m_desks.end() ? nullptr : &*found;
}

pool_office::held_desk* pool_office::deskOfInstance(const Common::instance_id& instance)
{
    const auto found = m_parts.hub.state().instances.find(instance);
    return found == m_parts.hub.state().instances.end() ? nullptr : openDesk(found->second.pool);
}

std::optional<Common::pool_id> pool_office::poolOfQueue(const Common::queue_id& queue) const
{
    const auto found = m_parts.hub.state().queues.find(queue);
    if (found == m_parts.hub.state().queues.end())
        return std::nullopt;
    return found->second.pool;
}

std::optional<refusal_reason> pool_office::checkKey(const forwarded_request& forwarded) const
{
    const auto& state = m_parts.hub.state();
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

std::optional<outcome> pool_office::offer(
    const forwarded_request& forwarded, Pool::waiter_ticket ticket, Common::instant now)
{
    const auto& identity = forwarded.request.identity;
    if (!m_parts.hub.mayAct(now))
        return Requests::notRun(refusal_reason::ViewStale);
    const auto pool = poolOfQueue(identity.queue);
    held_desk* const held = pool ? openDesk(*pool) : nullptr;
    if (!held || held->desk->epoch() != forwarded.epoch || m_voided.contains(forwarded.forwardId))
        return Requests::notRun(refusal_reason::HolderMoved);
    if (const auto reason = checkKey(forwarded))
        return Requests::notRun(*reason);
    const auto known = m_parts.hub.state().works.find(identity);
    if (known != m_parts.hub.state().works.end() && !held->desk->find(identity)) {
        const auto& work = known->second;
        if (work.queued || work.payloadDigest != Common::contentDigest(forwarded.request.payload))
            return Requests::notRun(refusal_reason::IdReused);
        if (work.phase == Fleet::work_phase::Finished && work.result.kind != Requests::outcome_kind::NotRun)
            return work.result;
        if (work.phase == Fleet::work_phase::Intended) {
            m_resolving[identity].push_back(ticket);
            return std::nullopt;
        }
    }
    if (!forwarded.request.idempotent && m_parts.hub.keeper().lacksLog(now))
        return Requests::notRun(refusal_reason::LogUnavailable);
    const auto refused = held->desk->offer({ .request = forwarded.request, .ticket = ticket }, now);
    pump(now);
    return refused;
}

std::optional<outcome> pool_office::settle(
    const settle_query& query, Pool::waiter_ticket ticket, Common::instant now)
{
    if (!m_parts.hub.mayAct(now))
        return Requests::unknownOutcome(refusal_reason::ViewStale);
    const auto pool = poolOfQueue(query.identity.queue);
    held_desk* const held = pool ? openDesk(*pool) : nullptr;
    if (!held)
        return Requests::unknownOutcome(refusal_reason::HolderMoved);
    m_voided[query.forwardId] = now + Requests::maxWaitingDeadline;
    const auto known = m_parts.hub.state().works.find(query.identity);
    const bool hasRecord = known != m_parts.hub.state().works.end();
    if (hasRecord && known->second.phase == Fleet::work_phase::Finished)
        return known->second.result;
    if (hasRecord || held->desk->find(query.identity)) {
        m_resolving[query.identity].push_back(ticket);
        return std::nullopt;
    }
    // No intent under any epoch, and the forwarding is void here: nothing can start it any more.
    return Requests::notRun(refusal_reason::HolderLost);
}

bool pool_office::cancel(const Requests::work_identity& identity, Common::instant now)
{
    const auto pool = poolOfQueue(identity.queue);
    held_desk* const held = pool ? openDesk(*pool) : nullptr;
    const bool certain = held && held->desk->cancel(identity);
    pump(now);
    return certain;
}

void pool_office::onState(Common::instant now)
{
    dropForeignDesks();
    openDesks(now);
    updateShares();
    updateWorkers();
    for (const auto& identity : m_parts.hub.takeTouchedWorks())
        onTouched(identity, now);
    checkIntents(now);
    pump(now);
}

void pool_office::onNewLife(Common::instant)
{
    // Nothing of the earlier life may go on: its leases have lapsed and others have taken over.
    for (held_desk& held : m_desks) {
        for (const auto& settled : held.desk->abandon()) {
            for (const auto ticket : settled.tickets)
                m_parts.waiters.tell(ticket, settled.result);
            tellResolving(settled.identity, settled.result);
        }
    }
    m_desks.clear();
    m_intents.clear();
    m_unresolved.clear();
    m_startedBefore.clear();
    for (auto& [instance, session] : m_sessions) {
        session->askToEnd();
        m_ended.push_back(std::move(session));
    }
    m_sessions.clear();
}

void pool_office::dropForeignDesks()
{
    std::erase_if(m_desks, [this](const held_desk& held) {
        const auto epoch = m_parts.hub.heldEpoch(Fleet::poolShard(held.pool));
        const bool isOurs = epoch && *epoch == held.desk->epoch();
        return !isOurs && held.desk->isIdle();
    });
}

void pool_office::openDesks(Common::instant now)
{
    for (const auto& [shard, holding] : m_parts.hub.state().shards) {
        const auto pool = Fleet::poolOfShard(shard);
        if (pool && holding.holder == m_parts.hub.self())
            openDeskUnlessKnown(*pool, holding.epoch, now);
    }
}

void pool_office::openDeskUnlessKnown(const Common::pool_id& pool, Common::shard_epoch epoch, Common::instant now)
{
    const bool isKnown = std::ranges::any_of(
        m_desks, [&](const held_desk& held) { return held.pool == pool && held.desk->epoch() == epoch; });
    if (isKnown)
        return;
    auto permits = m_parts.permits.makeSource();
    const Pool::pool_desk::options options { .pool = pool,
        .epoch = epoch,
        .taskPrefix = m_parts.hub.self().value + "." + std::to_string(epoch.value),
        .maxWaitingPerTeam = m_parts.hub.settings().maxWaitingPerTeam };
    auto desk = std::make_unique<Pool::pool_desk>(options, *permits);
    m_desks.push_back({ .pool = pool, .permits = std::move(permits), .desk = std::move(desk) });
    updateWorkers();
    takeOverWork(m_desks.back(), now);
    Common::writeLog(Common::log_level::Info, Common::log_category::Pool, "holds pool " + pool.value);
}

void pool_office::takeOverWork(held_desk& held, Common::instant now)
{
    for (const auto& [identity, work] : m_parts.hub.state().works) {
        if (poolOfQueue(identity.queue) != held.pool)
            continue;
        if (work.phase == Fleet::work_phase::Queued)
            offerFromLog(held, identity, work, now);
        if (work.phase == Fleet::work_phase::Intended)
            m_startedBefore.insert(identity);
    }
    adoptOrphans(now);
}

void pool_office::adoptOrphans(Common::instant now)
{
    const auto& state = m_parts.hub.state();
    std::erase_if(m_startedBefore, [&](const Requests::work_identity& identity) {
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

void pool_office::adopt(const Requests::work_identity& identity, const Fleet::work_record& work, Common::instant now)
{
    worker_session* const session = sessionOf(work.instance);
    if (!session) {
        record(identity, Requests::unknownOutcome(refusal_reason::WorkerLost));
        return;
    }
    m_unresolved[work.task] = identity;
    session->adopt(work.task, now);
}

void pool_office::offerFromLog(held_desk& held, const Requests::work_identity& identity,
    const Fleet::work_record& work, Common::instant now)
{
    const auto remaining = Common::millis((work.deadline - Common::wallNow()).value);
    const Requests::work_request request { .identity = identity,
        .needs = work.needs,
        .idempotent = work.idempotent,
        .remaining = remaining,
        .payload = work.payload };
    const auto refused = held.desk->offer({ .request = request, .fromLog = true, .ticket = {} }, now);
    if (refused)
        record(identity, *refused);
}

void pool_office::onTouched(const Requests::work_identity& identity, Common::instant now)
{
    const auto found = m_parts.hub.state().works.find(identity);
    if (found == m_parts.hub.state().works.end())
        return;
    const Fleet::work_record& work = found->second;
    const auto pool = poolOfQueue(identity.queue);
    held_desk* const open = pool ? openDesk(*pool) : nullptr;
    switch (work.phase) {
    case Fleet::work_phase::Queued:
        if (open && !open->desk->find(identity))
            offerFromLog(*open, identity, work, now);
        break;
    case Fleet::work_phase::Intended:
        // Also for a desk that is closing: it waits for its intents before the pool is released.
        onIntendedRecord(identity, work, now);
        break;
    case Fleet::work_phase::Finished:
        tellResolving(identity, work.result);
        break;
    }
}

void pool_office::onIntendedRecord(
    const Requests::work_identity& identity, const Fleet::work_record& work, Common::instant now)
{
    if (const held_desk* const held = deskOfTask(work.task)) {
        held->desk->onIntentApplied(identity, now);
        return;
    }
    // The desk gave the request up while its intent was on the way, so it never starts.
    if (work.task.value.starts_with(m_parts.hub.self().value) && !m_unresolved.contains(work.task))
        record(identity, Requests::notRun(refusal_reason::LogUnavailable));
}

void pool_office::checkIntents(Common::instant now)
{
    std::erase_if(m_intents, [this, now](const auto& entry) {
        const auto result = Fleet::resultOf(m_parts.hub.state(), entry.first);
        if (!result)
            return false;
        if (result->accepted())
            return true;
        const auto told = outcomeOfRefusedIntent(m_parts.hub.state(), entry.second, result->reason);
        for (held_desk& held : m_desks)
            held.desk->onIntentRefused(entry.second, told, now);
        return true;
    });
}

void pool_office::onInstanceList(const std::vector<Targets::listed_instance>& list, Common::instant now)
{
    m_listed.clear();
    for (const auto& instance : list)
        m_listed[instance.instance] = instance;
    updateWorkers();
    pump(now);
}

void pool_office::updateWorkers()
{
    const auto& state = m_parts.hub.state();
    for (held_desk& held : m_desks) {
        if (held.closing)
            continue;
        std::vector<Pool::worker_facts> facts;
        for (const auto& [name, instance] : state.instances) {
            const auto listed = m_listed.find(name);
            if (instance.pool != held.pool || listed == m_listed.end())
                continue;
            sessionOf(name);
            facts.push_back({ .instance = name,
                .capacity = listed->second.capacity,
                .slots = listed->second.slots,
                .open = Fleet::isOpenForWork(state, instance) && !listed->second.leaving });
        }
        held.desk->workers().setWorkers(facts);
    }
}

worker_session* pool_office::sessionOf(const Common::instance_id& instance)
{
    const auto found = m_sessions.find(instance);
    const auto listed = m_listed.find(instance);
    const bool hasMoved = found != m_sessions.end() && listed != m_listed.end()
        && found->second->listed().address != listed->second.address && !found->second->hasTasks();
    if (found != m_sessions.end() && !hasMoved)
        return found->second.get();
    if (hasMoved) {
        found->second->askToEnd();
        m_ended.push_back(std::move(found->second));
        m_sessions.erase(found);
    }
    if (listed == m_listed.end())
        return nullptr;
    const worker_session::parts parts {
        .hub = m_parts.hub, .owner = *this, .runner = m_parts.runner, .figures = m_parts.figures
    };
    auto& added = m_sessions[instance];
    added = std::make_unique<worker_session>(parts, listed->second);
    return added.get();
}

void pool_office::endIdleSessions()
{
    for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
        const bool isNeeded = deskOfInstance(entry->first) && m_listed.contains(entry->first);
        if (isNeeded || entry->second->hasTasks()) {
            ++entry;
            continue;
        }
        entry->second->askToEnd();
        m_ended.push_back(std::move(entry->second));
        entry = m_sessions.erase(entry);
    }
}

std::vector<std::unique_ptr<worker_session>> pool_office::takeEnded()
{
    return std::exchange(m_ended, {});
}

void pool_office::updateShares()
{
    const auto& state = m_parts.hub.state();
    for (held_desk& held : m_desks) {
        for (const auto& [name, account] : state.accounts) {
            for (const auto& team : account.productManager.teams)
                held.desk->setShare(team.team, team.share.value_or(Common::share_weight {}));
        }
    }
}

void pool_office::pump(Common::instant now)
{
    // Orders can call back here; the outer call sees to what they bring.
    if (m_isPumping)
        return;
    m_isPumping = true;
    pumpDesks(now);
    m_parts.permits.exchange(now);
    // Permits of a ledger that is held here came at once.
    pumpDesks(now);
    m_isPumping = false;
}

void pool_office::pumpDesks(Common::instant now)
{
    const bool mayAct = m_parts.hub.mayAct(now);
    for (held_desk& held : m_desks) {
        const auto epoch = m_parts.hub.heldEpoch(Fleet::poolShard(held.pool));
        const bool mayStart = mayAct && !held.closing && epoch && *epoch == held.desk->epoch();
        held.desk->pump(mayStart, now);
        carryOut(held.desk->takeOrders());
    }
}

void pool_office::carryOut(Pool::desk_orders orders)
{
    for (const auto& intent : orders.intents) {
        const auto pool = poolOfQueue(intent.identity.queue);
        const auto epoch = pool ? m_parts.hub.heldEpoch(Fleet::poolShard(*pool)) : std::nullopt;
        const auto id = m_parts.hub.submitOwn(Fleet::intend_work { .identity = intent.identity,
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
    for (const auto& settled : orders.settlements) {
        for (const auto ticket : settled.tickets)
            m_parts.waiters.tell(ticket, settled.result);
        tellResolving(settled.identity, settled.result);
        if (settled.record)
            record(settled.identity, settled.result);
    }
}

void pool_office::startOrRefuse(const Pool::start_order& order)
{
    if (worker_session* const session = sessionOf(order.worker))
        session->start(order);
    else
        onStart(order.task, Pool::start_result::Refused, Common::boot_clock::now());
}

void pool_office::record(const Requests::work_identity& identity, const outcome& result)
{
    m_parts.hub.submitOwn(Fleet::finish_work { .identity = identity, .result = result });
}

void pool_office::tellResolving(const Requests::work_identity& identity, const outcome& result)
{
    const auto found = m_resolving.find(identity);
    if (found == m_resolving.end())
        return;
    for (const auto ticket : found->second)
        m_parts.waiters.tell(ticket, result);
    m_resolving.erase(found);
}

bool pool_office::mayStart(const Pool::start_order& order, Common::instant now)
{
    const held_desk* const held = deskOfTask(order.task);
    const auto& state = m_parts.hub.state();
    const auto instance = state.instances.find(order.worker);
    if (!held || held->closing || !m_parts.hub.mayAct(now) || instance == state.instances.end())
        return false;
    return instance->second.pool == held->pool && Fleet::isOpenForWork(state, instance->second);
}

bool pool_office::owns(const Common::task_id& task) const
{
    return deskOfTask(task) != nullptr;
}

void pool_office::onStart(const Common::task_id& task, Pool::start_result result, Common::instant now)
{
    const held_desk* const held = deskOfTask(task);
    if (!held)
        return;
    held->desk->onStart(task, result, now);
    if (result == Pool::start_result::Refused)
        pump(now);
}

void pool_office::onFinished(const Common::task_id& task, outcome result, Common::instant now)
{
    if (const held_desk* const held = deskOfTask(task)) {
        held->desk->onFinished(task, std::move(result), now);
        pump(now);
        return;
    }
    const auto unresolved = m_unresolved.find(task);
    if (unresolved == m_unresolved.end()) {
        m_parts.figures.onDroppedResult();
        return;
    }
    tellResolving(unresolved->second, result);
    record(unresolved->second, result);
    m_unresolved.erase(unresolved);
}

void pool_office::onLost(const Common::task_id& task, Common::instant now)
{
    if (const held_desk* const held = deskOfTask(task)) {
        const auto view = held->desk->findTask(task);
        held->desk->onLost(task, now);
        // The result may still come when the worker is reached again.
        if (view && m_parts.hub.state().works.contains(view->identity))
            m_unresolved[task] = view->identity;
        pump(now);
        return;
    }
    const auto unresolved = m_unresolved.find(task);
    if (unresolved == m_unresolved.end())
        return;
    const auto lost = Requests::unknownOutcome(refusal_reason::HolderLost);
    tellResolving(unresolved->second, lost);
    record(unresolved->second, lost);
    m_unresolved.erase(unresolved);
}

void pool_office::onReport(const Common::instance_id& instance, Requests::resources foreign,
    Common::slot_count foreignSlots, bool leaving, Common::instant now)
{
    held_desk* const held = deskOfInstance(instance);
    if (!held)
        return;
    held->desk->workers().onReport(instance, foreign, foreignSlots, leaving);
    pump(now);
}

void pool_office::onSilent(const Common::instance_id& instance, Common::instant)
{
    if (held_desk* const held = deskOfInstance(instance))
        held->desk->workers().onSilent(instance);
}

void pool_office::tick(Common::instant now)
{
    pump(now);
    adoptOrphans(now);
    const auto openDeskOf = [this](const Common::pool_id& pool) -> const Pool::pool_desk* {
        const held_desk* const held = openDesk(pool);
        return held ? held->desk.get() : nullptr;
    };
    m_moves.advance(openDeskOf, now);
    endIdleSessions();
    dropForeignDesks();
    std::erase_if(m_voided, [now](const auto& entry) { return entry.second < now; });
}

bool pool_office::closeDesk(const Common::pool_id& pool)
{
    for (held_desk& held : m_desks) {
        if (held.pool != pool)
            continue;
        if (!held.closing) {
            held.closing = true;
            held.desk->close();
            carryOut(held.desk->takeOrders());
        }
        if (!held.desk->hasSettledStarts())
            return false;
    }
    return true;
}

std::vector<Common::pool_id> pool_office::closingPools() const
{
    std::vector<Common::pool_id> pools;
    for (const held_desk& held : m_desks) {
        const auto epoch = m_parts.hub.heldEpoch(Fleet::poolShard(held.pool));
        if (held.closing && epoch && *epoch == held.desk->epoch())
            pools.push_back(held.pool);
    }
    return pools;
}

bool pool_office::isIdle() const
{
    return std::ranges::all_of(m_desks, [](const held_desk& held) { return held.desk->isIdle(); });
}

std::vector<pool_figures> pool_office::pools() const
{
    std::vector<pool_figures> figures;
    for (const held_desk& held : m_desks) {
        figures.push_back({ .pool = held.pool,
            .epoch = held.desk->epoch(),
            .waiting = held.desk->waitingTotal(),
            .tasks = held.desk->tasks().size(),
            .usableWorkers = held.desk->workers().usableWorkers() });
    }
    return figures;
}

std::vector<Common::instance_id> pool_office::unusableInstances() const
{
    std::vector<Common::instance_id> names;
    for (const auto& [name, instance] : m_parts.hub.state().instances) {
        const auto listed = m_listed.find(name);
        if (listed == m_listed.end() || listed->second.leaving)
            names.push_back(name);
    }
    return names;
}

}
