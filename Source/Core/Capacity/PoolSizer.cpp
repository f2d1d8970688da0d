#include "Capacity/PoolSizer.h"

#include <algorithm>
#include <cmath>

namespace Capacity {

namespace {

    constexpr Common::millis refusedPause { 400 };

    int instancesFor(double amount, std::int64_t each)
    {
        return each > 0 ? static_cast<int>(std::ceil(amount / static_cast<double>(each))) : 0;
    }

}

pool_sizer::pool_sizer(const sizer_options& options)
    : m_options(options)
{
}

int pool_sizer::wantedIn(const Dispatch::pool_demand& demand, const Jobs::resources& instance) const
{
    const auto need = [this, &demand](auto part) {
        const auto now = static_cast<double>(part(demand.running) + part(demand.waiting));
        return (now + m_options.laterShare * static_cast<double>(part(demand.later))) * (1 + m_options.headroom);
    };
    const double processor = need([](const Jobs::resources& amount) { return amount.processor.value; });
    const double memory = need([](const Jobs::resources& amount) { return amount.memory.value; });
    return std::max(instancesFor(processor, instance.processor.value), instancesFor(memory, instance.memory.value))
        + m_options.reserve;
}

std::map<Common::pool_id, pool_sizer::pool_state> pool_sizer::survey(const Rules::fleet_rules& rules,
    instance_book& book, Dispatch::dispatcher& dispatcher, Common::instant now)
{
    m_lastSurvey.clear();
    std::map<Common::pool_id, pool_state> pools;
    std::map<Common::pool_id, Jobs::resources> sizes;
    for (const auto& pool : rules.pools)
        pools[pool.id];
    Jobs::resources anySize;
    for (auto& [id, record] : book.all()) {
        const auto& target = record.move ? record.move->pool : record.entry.pool;
        const auto pool = pools.find(target);
        if (pool == pools.end() || record.entry.state == instance_state::Down)
            continue;
        sizes[target] = record.entry.capacity;
        anySize = record.entry.capacity;
        const bool isBusy = record.isOrderOpen || record.isUnsettled || record.move || record.upkeep;
        const bool isUsable = record.entry.state != instance_state::Upkeep && !record.upkeep
            && !dispatcher.isEvacuated(record.entry.dataCentre);
        if (isUsable && (record.move || !dispatcher.isCordoned(record.entry.worker)))
            ++pool->second.present;
        const bool isMovable = !isBusy && record.entry.state == instance_state::Up && now >= record.notBefore
            && isIdle(record, dispatcher);
        if (isMovable)
            pool->second.idle.push_back(&record);
    }
    for (const auto& rule : rules.pools) {
        auto& pool = pools[rule.id];
        const auto size = sizes.contains(rule.id) ? sizes[rule.id] : anySize;
        pool.demand = dispatcher.demandOf(rule.id);
        pool.wanted = rule.isSpare ? 0 : wantedIn(pool.demand, size);
        m_lastSurvey.push_back({ .pool = rule.id,
            .wanted = pool.wanted,
            .present = pool.present,
            .idle = static_cast<int>(pool.idle.size()),
            .demand = pool.demand });
    }
    return pools;
}

void pool_sizer::plan(const Rules::fleet_rules& rules, instance_book& book, Dispatch::dispatcher& dispatcher,
    Common::instant now, capacity_orders& orders)
{
    if (!book.hasList())
        return;
    const Rules::pool_rule* spare = nullptr;
    for (const auto& rule : rules.pools)
        spare = rule.isSpare ? &rule : spare;
    auto pools = survey(rules, book, dispatcher, now);
    for (const auto& rule : rules.pools) {
        auto& pool = pools[rule.id];
        if (rule.isSpare || pool.present <= pool.wanted)
            m_surplusSince.erase(rule.id);
        else
            m_surplusSince.emplace(rule.id, now);
    }
    // First to where work waits: from pools with more than they want, then from the spare pool.
    std::vector<pool_state*> givers;
    for (const auto& rule : rules.pools) {
        if (!rule.isSpare)
            givers.push_back(&pools[rule.id]);
    }
    if (spare)
        givers.push_back(&pools[spare->id]);
    const auto takeFrom = [&](const Common::pool_id& taker) {
        for (auto* giver : givers) {
            if (giver->present <= giver->wanted || giver == &pools[taker])
                continue;
            while (!giver->idle.empty()) {
                auto* record = giver->idle.back();
                giver->idle.pop_back();
                if (!move(*record, taker, dispatcher, now, orders))
                    continue;
                --giver->present;
                return true;
            }
        }
        return false;
    };
    for (const auto& rule : rules.pools) {
        auto& pool = pools[rule.id];
        while (!rule.isSpare && pool.present < pool.wanted && takeFrom(rule.id))
            ++pool.present;
    }
    if (!spare)
        return;
    for (const auto& rule : rules.pools) {
        auto& pool = pools[rule.id];
        const auto since = m_surplusSince.find(rule.id);
        const bool isSettled = since != m_surplusSince.end() && now - since->second >= m_options.patience;
        while (isSettled && pool.present > pool.wanted && !pool.idle.empty()) {
            auto* record = pool.idle.back();
            pool.idle.pop_back();
            if (move(*record, spare->id, dispatcher, now, orders))
                --pool.present;
        }
    }
}

bool pool_sizer::move(instance_record& record, const Common::pool_id& pool, Dispatch::dispatcher& dispatcher,
    Common::instant now, capacity_orders& orders)
{
    if (m_unfit.contains({ record.entry.id, pool }))
        return false;
    dispatcher.setCordoned(record.entry.worker, true);
    record.move = move_order { .instance = record.entry.id, .pool = pool };
    record.isOrderOpen = true;
    record.changedAt = now;
    orders.moves.push_back(*record.move);
    return true;
}

void pool_sizer::onMove(instance_book& book, const move_order& order, instance_outcome outcome, Common::instant now)
{
    auto* record = book.find(order.instance);
    if (!record)
        return;
    record->isOrderOpen = false;
    record->changedAt = now;
    record->isUnsettled = outcome == instance_outcome::NoAnswer;
    if (outcome == instance_outcome::Done) {
        record->entry.pool = order.pool;
        record->entry.state = instance_state::Moving;
        record->entry.worker = {};
        record->move.reset();
        return;
    }
    record->notBefore = now + refusedPause;
    if (outcome == instance_outcome::Invalid)
        m_unfit.insert({ order.instance, order.pool });
    if (!record->isUnsettled)
        record->move.reset();
}

}
