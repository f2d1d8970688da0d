#include "Capacity/WavePlanner.h"

#include <algorithm>

namespace Capacity {

namespace {

    /// At first, this fraction (1/n) of the instances that may be down is drained at once, but at least one.
    constexpr int earlyDivisor = 4;
    /// After this share of the wave's duration, as many are drained at once as may be down.
    constexpr double urgentAfterShare = 0.5;
    /// Delay before the next order for an instance after a maintenance order that wasn't carried out.
    constexpr Common::millis refusedOrderDelay { 400 };

}

void wave_planner::setWaves(const std::map<std::int64_t, Rules::maintenance_wave>& waves, Common::instant now)
{
    std::erase_if(m_waves, [&waves](const auto& entry) { return !waves.contains(entry.first); });
    for (const auto& [number, wave] : waves) {
        if (m_waves.contains(number))
            continue;
        open_wave opened { .wave = wave, .status = { .wave = number }, .since = now };
        if (const auto known = m_restored.find(number); known != m_restored.end())
            opened.status = known->second;
        m_waves.emplace(number, std::move(opened));
    }
}

void wave_planner::restore(const wave_status& status)
{
    m_restored[status.wave] = status;
    const auto open = m_waves.find(status.wave);
    if (open != m_waves.end())
        open->second.status = status;
}

void wave_planner::plan(
    instance_registry& instances, Dispatch::dispatcher& dispatcher, Common::instant now, capacity_orders& orders)
{
    if (!instances.hasList())
        return;
    for (auto& [number, wave] : m_waves) {
        if (!wave.status.isCompleted)
            planWave(wave, instances, dispatcher, now, orders);
    }
}

int wave_planner::downCount(const open_wave& wave, instance_registry& instances)
{
    return static_cast<int>(
        std::count_if(wave.wave.instances.begin(), wave.wave.instances.end(), [&instances](const auto& id) {
            const auto* record = instances.find(id);
            return record && (record->maintenance || record->entry.state == instance_state::Maintenance);
        }));
}

int wave_planner::drainLimit(const open_wave& wave, Common::instant now)
{
    const auto spent = static_cast<double>(Common::elapsed(wave.since, now).count());
    const bool isUrgent = spent > urgentAfterShare * static_cast<double>(wave.wave.duration.count());
    return isUrgent ? wave.wave.maxConcurrent : std::max(1, wave.wave.maxConcurrent / earlyDivisor);
}

void wave_planner::orderMaintenance(
    open_wave& wave, instance_record& record, Common::instant now, capacity_orders& orders)
{
    const maintenance_order maintenance { .instance = record.entry.id, .wave = wave.wave.number };
    record.maintenance = maintenance;
    record.isOrderInFlight = true;
    record.changedAt = now;
    orders.maintenanceOrders.push_back(maintenance);
}

void wave_planner::planWave(open_wave& wave, instance_registry& instances, Dispatch::dispatcher& dispatcher,
    Common::instant now, capacity_orders& orders)
{
    if (!wave.isReported) {
        wave.isReported = true;
        m_changed.insert(wave.wave.number);
    }
    // Instances that are up again after their maintenance no longer count as down.
    for (const auto& id : wave.wave.instances) {
        auto* record = instances.find(id);
        const bool isBack = record && record->maintenance && !record->isOrderInFlight && !record->isOutcomeUnknown
            && record->entry.state == instance_state::Up;
        if (isBack)
            record->maintenance.reset();
    }
    int down = downCount(wave, instances);
    int draining = 0;
    for (const auto& id : wave.cordoned) {
        const auto* record = instances.find(id);
        draining += record && !wave.status.begun.contains(id) ? 1 : 0;
    }
    for (const auto& id : wave.wave.instances) {
        auto* record = instances.find(id);
        if (!record || wave.status.begun.contains(id) || record->isOrderInFlight || record->move)
            continue;
        const bool isRepeat = record->isOutcomeUnknown && record->maintenance;
        if (now < record->notBefore || (!isRepeat && record->entry.state != instance_state::Up))
            continue;
        if (isRepeat) {
            orderMaintenance(wave, *record, now, orders);
        } else if (down >= wave.wave.maxConcurrent) {
            continue;
        } else if (isIdle(*record, dispatcher)) {
            dispatcher.setCordoned(record->entry.worker, true);
            wave.cordoned.insert(id);
            orderMaintenance(wave, *record, now, orders);
            ++down;
        } else if (wave.cordoned.contains(id) || draining < drainLimit(wave, now)) {
            draining += wave.cordoned.insert(id).second ? 1 : 0;
            dispatcher.setCordoned(record->entry.worker, true);
            dispatcher.evictLongRunning(record->entry.worker);
        }
    }
    completeIfDone(wave, instances);
}

void wave_planner::completeIfDone(open_wave& wave, instance_registry& instances)
{
    const bool isDone = std::all_of(wave.wave.instances.begin(), wave.wave.instances.end(),
        [&wave, &instances](const auto& id) { return wave.status.begun.contains(id) || !instances.find(id); });
    if (!isDone)
        return;
    wave.status.isCompleted = true;
    m_changed.insert(wave.wave.number);
}

void wave_planner::onMaintenance(
    instance_registry& instances, const maintenance_order& order, instance_outcome outcome, Common::instant now)
{
    auto* record = instances.find(order.instance);
    const auto wave = m_waves.find(order.wave);
    if (!record || wave == m_waves.end())
        return;
    record->isOrderInFlight = false;
    record->changedAt = now;
    record->isOutcomeUnknown = outcome == instance_outcome::NoAnswer;
    if (outcome == instance_outcome::Done) {
        record->entry.state = instance_state::Maintenance;
        record->entry.worker = {};
        wave->second.status.begun.insert(order.instance);
        wave->second.cordoned.erase(order.instance);
        m_changed.insert(order.wave);
        return;
    }
    record->notBefore = now + refusedOrderDelay;
    if (!record->isOutcomeUnknown)
        record->maintenance.reset();
    // By the manager's answer the instance isn't part of the wave, so there is no maintenance to wait for.
    if (outcome == instance_outcome::NotInWave || outcome == instance_outcome::Invalid)
        wave->second.status.begun.insert(order.instance);
}

std::vector<wave_status> wave_planner::takeChanges()
{
    std::vector<wave_status> changes;
    for (const auto number : m_changed) {
        if (const auto wave = m_waves.find(number); wave != m_waves.end())
            changes.push_back(wave->second.status);
    }
    m_changed.clear();
    return changes;
}

}
