#include "Capacity/PoolSizer.h"

#include <algorithm>
#include <cmath>

namespace Capacity {

namespace {

    /// Delay before the next order for an instance after a move that wasn't carried out.
    constexpr Common::millis refusedOrderDelay { 400 };

    const Dispatch::worker_state* workerOn(const instance_record& record, const Dispatch::dispatcher& dispatcher)
    {
        const auto found = dispatcher.workers().find(record.entry.worker);
        return found == dispatcher.workers().end() ? nullptr : &found->second;
    }

    bool isIdleWorker(const instance_record& record, const Dispatch::worker_state* worker)
    {
        return record.entry.worker.empty() || (worker && worker->hasReported && worker->runs.empty());
    }

}

pool_sizer::pool_sizer(const sizer_options& options)
    : m_options(options)
    , m_forecast(options.forecast)
{
}

int pool_sizer::instancesFor(const Jobs::resources& need, const Jobs::resources& each) const
{
    const auto count = [this](std::int64_t amount, std::int64_t size) {
        const auto wanted = static_cast<double>(amount) * (1 + m_options.headroom);
        return size > 0 ? static_cast<int>(std::ceil(wanted / static_cast<double>(size))) : 0;
    };
    return std::max(count(need.processor.value, each.processor.value), count(need.memory.value, each.memory.value));
}

int pool_sizer::instancesLost(const Jobs::resources& lost, const Jobs::resources& each)
{
    const auto share = [](std::int64_t amount, std::int64_t size) {
        return size > 0 ? static_cast<double>(amount) / static_cast<double>(size) : 0;
    };
    return static_cast<int>(std::lround(
        std::max(share(lost.processor.value, each.processor.value), share(lost.memory.value, each.memory.value))));
}

void pool_sizer::count(
    instance_record& record, pool_state& pool, Dispatch::dispatcher& dispatcher, Common::instant now)
{
    if (record.entry.state == instance_state::Down)
        return;
    const auto& id = record.entry.id;
    const bool isUsable = record.entry.state != instance_state::Maintenance && !record.maintenance
        && !dispatcher.isEvacuated(record.entry.dataCentre);
    const bool isBeingDrained = !m_draining.empty() && m_draining.contains(id);
    const auto* worker = workerOn(record, dispatcher);
    noteArrival(record, worker, now);
    const bool isCordoned = worker && worker->isCordoned;
    if (isUsable && (record.move || !isCordoned))
        ++pool.present;
    if (isUsable && !record.move && !isCordoned && worker && worker->isRegistered)
        pool.lost += worker->lostCapacity();
    const bool isOrdered = record.isOrderInFlight || record.isOutcomeUnknown || record.move || record.maintenance;
    if (isOrdered || record.entry.state != instance_state::Up || now < record.notBefore)
        return;
    if (isIdleWorker(record, worker))
        pool.idle.push_back(&record);
    else if (worker && !isBeingDrained && !isCordoned && isUsable && !worker->hasLongRunningRuns())
        pool.busy.push_back({ .usedProcessor = worker->used().processor, .record = &record });
}

pool_sizer::pool_states pool_sizer::survey(
    const Rules::fleet_rules& rules, instance_registry& instances, Dispatch::dispatcher& dispatcher, const plan_time& when)
{
    pool_states pools;
    Jobs::resources fallbackSize;
    for (const auto& rule : rules.pools)
        pools[rule.id].isSpare = rule.isSpare;
    for (auto& [id, record] : instances.all()) {
        const auto& target = record.move ? record.move->pool : record.entry.pool;
        const auto pool = pools.find(target);
        if (pool == pools.end())
            continue;
        if (record.fullCapacity.processor.value > 0) {
            pool->second.instanceSize = record.fullCapacity;
            fallbackSize = record.fullCapacity;
        }
        count(record, pool->second, dispatcher, when.now);
    }
    std::map<Common::pool_id, int> instancesForLate;
    for (auto& [id, pool] : pools) {
        if (pool.isSpare)
            continue;
        const auto size = pool.instanceSize.value_or(fallbackSize);
        pool.demand = dispatcher.demandOf(id, when.wall);
        estimateNeed(id, pool, size, when.now);
        instancesForLate[id] = instancesFor(pool.demand.late, size);
        std::sort(pool.busy.begin(), pool.busy.end(),
            [](const auto& left, const auto& right) { return left.usedProcessor < right.usedProcessor; });
    }
    divideInstances(pools, instancesForLate);
    m_lastSurvey.clear();
    for (const auto& [id, pool] : pools) {
        m_lastSurvey.push_back({ .pool = id,
            .wanted = pool.wanted,
            .present = pool.present,
            .idle = static_cast<int>(pool.idle.size()),
            .demand = pool.demand,
            .growth = pool.growth });
    }
    return pools;
}

void pool_sizer::estimateNeed(
    const Common::pool_id& id, pool_state& pool, const Jobs::resources& each, Common::instant now)
{
    auto need = pool.demand.running + pool.demand.waiting;
    const auto part = [](auto amount, double share) {
        return decltype(amount) { static_cast<std::int64_t>(static_cast<double>(amount.value) * share) };
    };
    need.processor += part(pool.demand.blocked.processor, m_options.blockedShare);
    need.memory += part(pool.demand.blocked.memory, m_options.blockedShare);
    m_forecast.note(id, need.processor, now);
    pool.growth = m_forecast.growth(id);
    pool.onTime = instancesFor(need, each) + instancesLost(pool.lost, each) + m_options.reserve;
    const Jobs::resources grown { .processor = part(need.processor, pool.growth), .memory = part(need.memory, pool.growth) };
    const int later = instancesFor(grown, each) + instancesLost(pool.lost, each) + m_options.reserve;
    pool.expected = std::max({ 0, later - pool.onTime, pool.demand.workersForSpread - pool.onTime });
}

void pool_sizer::noteArrival(
    const instance_record& record, const Dispatch::worker_state* worker, Common::instant now)
{
    const auto ordered = m_underWay.find(record.entry.id);
    if (ordered == m_underWay.end() || record.move || record.isOrderInFlight || !worker || !worker->isRegistered || !worker->hasReported)
        return;
    m_forecast.noteMove(Common::elapsed(ordered->second, now));
    m_underWay.erase(ordered);
}

void pool_sizer::divideInstances(pool_states& pools, const std::map<Common::pool_id, int>& instancesForLate)
{
    int total = 0;
    int onTime = 0;
    int expected = 0;
    int late = 0;
    for (const auto& [id, pool] : pools) {
        total += pool.present;
        onTime += pool.onTime;
        expected += pool.expected;
    }
    for (const auto& [id, count] : instancesForLate)
        late += count;
    const auto part = [](int amount, int room, int asked) {
        if (asked <= std::max(0, room))
            return amount;
        return static_cast<int>(static_cast<std::int64_t>(amount) * std::max(0, room) / asked);
    };
    for (auto& [id, pool] : pools) {
        if (pool.isSpare)
            continue;
        pool.wanted = std::max(1, part(pool.onTime, total, onTime)) + part(pool.expected, total - onTime, expected)
            + part(instancesForLate.at(id), total - onTime - expected, late);
    }
}

void pool_sizer::plan(const Rules::fleet_rules& rules, instance_registry& instances, Dispatch::dispatcher& dispatcher,
    const plan_time& when, capacity_orders& orders)
{
    if (!instances.hasList())
        return;
    m_firstPlanAt = m_firstPlanAt.value_or(when.now);
    auto pools = survey(rules, instances, dispatcher, when);
    for (const auto& [id, pool] : pools) {
        if (pool.demand.shortJobs > 0)
            m_withDemand.insert(id);
        if (pool.isSpare || pool.present <= pool.wanted || isDemandUnknown(id, when.now))
            m_surplusSince.erase(id);
        else
            m_surplusSince.emplace(id, when.now);
    }
    coverShortages(pools, dispatcher, when.now, orders);
    releaseSurplus(pools, dispatcher, when.now, orders);
    uncordonIdle(instances, dispatcher);
    drainBusy(pools, dispatcher);
}

bool pool_sizer::isDemandUnknown(const Common::pool_id& pool, Common::instant now) const
{
    return !m_withDemand.contains(pool) && now - *m_firstPlanAt < m_options.unknownDemandHold;
}

void pool_sizer::uncordonIdle(instance_registry& instances, Dispatch::dispatcher& dispatcher)
{
    for (auto id = m_draining.begin(); id != m_draining.end();) {
        const auto* record = instances.find(*id);
        const bool isOver = !record || record->maintenance || record->entry.state != instance_state::Up;
        if (!isOver && !isIdle(*record, dispatcher)) {
            ++id;
            continue;
        }
        if (!isOver)
            dispatcher.setCordoned(record->entry.worker, false);
        id = m_draining.erase(id);
    }
}

void pool_sizer::coverShortages(
    pool_states& pools, Dispatch::dispatcher& dispatcher, Common::instant now, capacity_orders& orders)
{
    // Each instance goes to the pool that has the smallest share of its target.
    while (true) {
        pool_states::value_type* neediest = nullptr;
        const auto hasLess = [](const pool_state& left, const pool_state& right) {
            return left.present * right.wanted < right.present * left.wanted;
        };
        for (auto& entry : pools) {
            if (entry.second.isSpare || entry.second.present >= entry.second.wanted)
                continue;
            if (!neediest || hasLess(entry.second, neediest->second))
                neediest = &entry;
        }
        if (!neediest || !moveIdleTo(pools, neediest->first, dispatcher, now, orders))
            return;
        ++neediest->second.present;
    }
}

bool pool_sizer::moveIdleTo(pool_states& pools, const Common::pool_id& receiver, Dispatch::dispatcher& dispatcher,
    Common::instant now, capacity_orders& orders)
{
    const auto takeFrom = [&](pool_state& donor) {
        while (!donor.idle.empty()) {
            auto* record = donor.idle.back();
            donor.idle.pop_back();
            const bool wasPresent = !m_draining.contains(record->entry.id);
            if (!move(*record, receiver, dispatcher, now, orders))
                continue;
            donor.present -= wasPresent ? 1 : 0;
            return true;
        }
        return false;
    };
    for (auto& [id, donor] : pools) {
        const bool hasDrained = std::any_of(donor.idle.begin(), donor.idle.end(),
            [this](const auto* record) { return m_draining.contains(record->entry.id); });
        if (id != receiver && !donor.isSpare && (donor.present > donor.wanted || hasDrained) && takeFrom(donor))
            return true;
    }
    return std::any_of(pools.begin(), pools.end(),
        [&takeFrom](auto& entry) { return entry.second.isSpare && takeFrom(entry.second); });
}

void pool_sizer::releaseSurplus(
    pool_states& pools, Dispatch::dispatcher& dispatcher, Common::instant now, capacity_orders& orders)
{
    const auto spare
        = std::find_if(pools.begin(), pools.end(), [](const auto& entry) { return entry.second.isSpare; });
    if (spare == pools.end())
        return;
    for (auto& [id, pool] : pools) {
        const auto since = m_surplusSince.find(id);
        const bool isSurplusStable = since != m_surplusSince.end() && now - since->second >= m_options.surplusDelay;
        while (isSurplusStable && pool.present > pool.wanted && !pool.idle.empty()) {
            auto* record = pool.idle.back();
            pool.idle.pop_back();
            if (move(*record, spare->first, dispatcher, now, orders))
                --pool.present;
        }
    }
}

void pool_sizer::drainBusy(pool_states& pools, Dispatch::dispatcher& dispatcher)
{
    int missing = -static_cast<int>(m_draining.size());
    // Nothing that runs gives way to what is only expected.
    for (const auto& [id, pool] : pools)
        missing += pool.isSpare ? 0 : std::max(0, pool.wanted - pool.expected - pool.present);
    for (auto& [id, pool] : pools) {
        if (pool.isSpare)
            continue;
        for (const auto& [usedProcessor, record] : pool.busy) {
            if (missing <= 0 || pool.present <= pool.wanted)
                break;
            dispatcher.setCordoned(record->entry.worker, true);
            m_draining.insert(record->entry.id);
            --pool.present;
            --missing;
        }
    }
}

bool pool_sizer::move(instance_record& record, const Common::pool_id& pool, Dispatch::dispatcher& dispatcher,
    Common::instant now, capacity_orders& orders)
{
    if (m_rejectedMoves.contains({ record.entry.id, pool }))
        return false;
    m_draining.erase(record.entry.id);
    dispatcher.setCordoned(record.entry.worker, true);
    record.move = move_order { .instance = record.entry.id, .pool = pool };
    record.isOrderInFlight = true;
    record.changedAt = now;
    m_underWay.insert_or_assign(record.entry.id, now);
    orders.moves.push_back(*record.move);
    return true;
}

void pool_sizer::onMove(
    instance_registry& instances, const move_order& order, instance_outcome outcome, Common::instant now)
{
    auto* record = instances.find(order.instance);
    if (!record)
        return;
    record->isOrderInFlight = false;
    record->changedAt = now;
    record->isOutcomeUnknown = outcome == instance_outcome::NoAnswer;
    if (outcome == instance_outcome::Done) {
        record->entry.pool = order.pool;
        record->entry.state = instance_state::Moving;
        record->entry.worker = {};
        record->move.reset();
        return;
    }
    m_underWay.erase(order.instance);
    record->notBefore = now + refusedOrderDelay;
    if (outcome == instance_outcome::Invalid)
        m_rejectedMoves.insert({ order.instance, order.pool });
    if (!record->isOutcomeUnknown)
        record->move.reset();
}

}
