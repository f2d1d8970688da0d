#include "Capacity/InstanceRegistry.h"

#include <algorithm>

namespace Capacity {

void instance_registry::update(const std::vector<instance_entry>& list, Common::instant began)
{
    m_hasList = true;
    std::map<Common::instance_id, instance_record> updated;
    for (const auto& entry : list) {
        auto& record = updated[entry.id];
        const auto known = m_instances.find(entry.id);
        if (known != m_instances.end())
            record = known->second;
        const bool isNewer = record.changedAt < began && !record.isOrderInFlight;
        if (known == m_instances.end() || isNewer)
            record.entry = entry;
        record.fullCapacity = Jobs::largest(record.fullCapacity, entry.capacity);
    }
    for (const auto& [id, record] : m_instances) {
        if (record.isOrderInFlight)
            updated.emplace(id, record);
    }
    m_instances = std::move(updated);
}

instance_record* instance_registry::find(const Common::instance_id& id)
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

bool instance_registry::hasOpenOrders() const
{
    return std::any_of(m_instances.begin(), m_instances.end(), [](const auto& entry) {
        const auto& record = entry.second;
        return record.isOrderInFlight || record.isOutcomeUnknown || record.entry.state != instance_state::Up;
    });
}

bool isIdle(const instance_record& record, const Dispatch::dispatcher& dispatcher)
{
    if (record.entry.worker.empty())
        return true;
    const auto worker = dispatcher.workers().find(record.entry.worker);
    return worker != dispatcher.workers().end() && worker->second.hasReported && worker->second.runs.empty();
}

}
