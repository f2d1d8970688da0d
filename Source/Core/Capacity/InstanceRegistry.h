#pragma once

#include "Capacity/Instances.h"
#include "Dispatch/Dispatcher.h"

#include <map>

namespace Capacity {

/// An instance and the orders sent for it.
struct instance_record {
    instance_entry entry;
    /// The largest capacity that was listed.
    Jobs::resources fullCapacity;
    /// An order was sent and hasn't been answered.
    bool isOrderInFlight { false };
    /// The last order got no answer; it may have been carried out, or may still be.
    bool isOutcomeUnknown { false };
    std::optional<move_order> move;
    std::optional<maintenance_order> maintenance;
    Common::instant changedAt;
    /// Earliest time for the next order after one that failed.
    Common::instant notBefore;
};

/// The leader's view of the instances: the manager's list, updated by the leader's own later orders.
class instance_registry {
public:
    /// Applies a list that was requested at `began`; instances that changed since then keep their state.
    void update(const std::vector<instance_entry>&, Common::instant began);
    std::map<Common::instance_id, instance_record>& all() { return m_instances; }
    instance_record* find(const Common::instance_id&);
    bool hasList() const { return m_hasList; }
    bool hasOpenOrders() const;

private:
    std::map<Common::instance_id, instance_record> m_instances;
    bool m_hasList { false };
};

/// Whether no task runs on the instance, so that its worker can be stopped.
bool isIdle(const instance_record&, const Dispatch::dispatcher&);

}
