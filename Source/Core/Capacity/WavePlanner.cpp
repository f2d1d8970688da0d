#include "Capacity/WavePlanner.h"

#include <algorithm>

namespace Capacity {

namespace {

    /// Workers that are emptied for a wave at once, as shares of what may be down: at first, and when half of
    /// the wave's time is over.
    constexpr int calmDivisor = 4;
    constexpr double urgentShare = 0.5;
    /// Pause after an upkeep that the manager didn't take.
    constexpr Common::millis refusedPause { 400 };

}

void wave_planner::setWaves(const std::map<std::int64_t, Rules::upkeep_wave>& waves, Common::instant now)
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
    instance_book& book, Dispatch::dispatcher& dispatcher, Common::instant now, capacity_orders& orders)
{
    if (!book.hasList())
        return;
    for (auto& [number, wave] : m_waves) {
        if (!wave.status.isCompleted)
            planWave(wave, book, dispatcher, now, orders);
    }
}

int wave_planner::downCount(const open_wave& wave, instance_book& book)
{
    return static_cast<int>(
        std::count_if(wave.wave.instances.begin(), wave.wave.instances.end(), [&book](const auto& id) {
            const auto* record = book.find(id);
            return record && (record->upkeep || record->entry.state == instance_state::Upkeep);
        }));
}

int wave_planner::emptyingLimit(const open_wave& wave, Common::instant now)
{
    const auto spent = static_cast<double>(Common::elapsed(wave.since, now).count());
    const bool isUrgent = spent > urgentShare * static_cast<double>(wave.wave.duration.count());
    return isUrgent ? wave.wave.mostAtOnce : std::max(1, wave.wave.mostAtOnce / calmDivisor);
}

void wave_planner::order(open_wave& wave, instance_record& record, Common::instant now, capacity_orders& orders)
{
    const upkeep_order upkeep { .instance = record.entry.id, .wave = wave.wave.number };
    record.upkeep = upkeep;
    record.isOrderOpen = true;
    record.changedAt = now;
    orders.upkeeps.push_back(upkeep);
}

void wave_planner::planWave(open_wave& wave, instance_book& book, Dispatch::dispatcher& dispatcher,
    Common::instant now, capacity_orders& orders)
{
    if (!wave.isAnnounced) {
        wave.isAnnounced = true;
        m_changed.insert(wave.wave.number);
    }
    // Those that were begun and are up again are no longer down for it.
    for (const auto& id : wave.wave.instances) {
        auto* record = book.find(id);
        const bool isBack = record && record->upkeep && !record->isOrderOpen && !record->isUnsettled
            && record->entry.state == instance_state::Up;
        if (isBack)
            record->upkeep.reset();
    }
    int down = downCount(wave, book);
    int emptying = 0;
    for (const auto& id : wave.cordoned) {
        const auto* record = book.find(id);
        emptying += record && !wave.status.begun.contains(id) ? 1 : 0;
    }
    for (const auto& id : wave.wave.instances) {
        auto* record = book.find(id);
        if (!record || wave.status.begun.contains(id) || record->isOrderOpen || record->move)
            continue;
        const bool isRepeat = record->isUnsettled && record->upkeep;
        if (now < record->notBefore || (!isRepeat && record->entry.state != instance_state::Up))
            continue;
        if (isRepeat) {
            order(wave, *record, now, orders);
        } else if (down >= wave.wave.mostAtOnce) {
            continue;
        } else if (isIdle(*record, dispatcher)) {
            dispatcher.setCordoned(record->entry.worker, true);
            wave.cordoned.insert(id);
            order(wave, *record, now, orders);
            ++down;
        } else if (wave.cordoned.contains(id) || emptying < emptyingLimit(wave, now)) {
            emptying += wave.cordoned.insert(id).second ? 1 : 0;
            dispatcher.setCordoned(record->entry.worker, true);
            dispatcher.evictLongRunning(record->entry.worker);
        }
    }
    finishIfDone(wave, book);
}

void wave_planner::finishIfDone(open_wave& wave, instance_book& book)
{
    const bool isDone = std::all_of(wave.wave.instances.begin(), wave.wave.instances.end(),
        [&wave, &book](const auto& id) { return wave.status.begun.contains(id) || !book.find(id); });
    if (!isDone)
        return;
    wave.status.isCompleted = true;
    m_changed.insert(wave.wave.number);
}

void wave_planner::onUpkeep(
    instance_book& book, const upkeep_order& order, instance_outcome outcome, Common::instant now)
{
    auto* record = book.find(order.instance);
    const auto wave = m_waves.find(order.wave);
    if (!record || wave == m_waves.end())
        return;
    record->isOrderOpen = false;
    record->changedAt = now;
    record->isUnsettled = outcome == instance_outcome::NoAnswer;
    if (outcome == instance_outcome::Done) {
        record->entry.state = instance_state::Upkeep;
        record->entry.worker = {};
        wave->second.status.begun.insert(order.instance);
        wave->second.cordoned.erase(order.instance);
        m_changed.insert(order.wave);
        return;
    }
    record->notBefore = now + refusedPause;
    if (!record->isUnsettled)
        record->upkeep.reset();
    // What the wave doesn't name for the manager has no upkeep to wait for.
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
