#include "Capacity/CapacityPlanner.h"

namespace Capacity {

capacity_planner::capacity_planner(const sizer_options& options)
    : m_sizer(options)
{
}

void capacity_planner::setWaves(const std::map<std::int64_t, Rules::maintenance_wave>& waves, Common::instant now)
{
    m_waves.setWaves(waves, now);
}

void capacity_planner::onList(const std::vector<instance_entry>& list, Dispatch::dispatcher& dispatcher,
    Common::instant began, Common::instant now, Common::wall_millis wall)
{
    m_instances.update(list, began);
    std::map<Common::worker_id, Common::pool_id> instanceWorkers;
    for (const auto& entry : list) {
        if (!entry.worker.empty())
            instanceWorkers.emplace(entry.worker, entry.pool);
    }
    dispatcher.setInstanceWorkers(instanceWorkers, began, now, wall);
}

capacity_orders capacity_planner::plan(Dispatch::dispatcher& dispatcher, Common::instant now, Common::wall_millis wall)
{
    capacity_orders orders;
    m_waves.plan(m_instances, dispatcher, now, orders);
    retryUnansweredMoves(now, orders);
    m_sizer.plan(m_rules, m_instances, dispatcher, { now, wall }, orders);
    return orders;
}

void capacity_planner::retryUnansweredMoves(Common::instant now, capacity_orders& orders)
{
    for (auto& [id, record] : m_instances.all()) {
        if (!record.isOutcomeUnknown || !record.move || record.isOrderInFlight || now < record.notBefore)
            continue;
        record.isOrderInFlight = true;
        record.changedAt = now;
        orders.moves.push_back(*record.move);
    }
}

void capacity_planner::onMove(
    const move_order& order, instance_outcome outcome, Dispatch::dispatcher& dispatcher, Common::instant now)
{
    m_sizer.onMove(m_instances, order, outcome, now);
    const auto* record = m_instances.find(order.instance);
    if (record && !record->move && outcome != instance_outcome::Done)
        dispatcher.setCordoned(record->entry.worker, false);
}

void capacity_planner::onMaintenance(const maintenance_order& order, instance_outcome outcome, Common::instant now)
{
    m_waves.onMaintenance(m_instances, order, outcome, now);
}

}
