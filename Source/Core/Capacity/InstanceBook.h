#pragma once

#include "Capacity/Instances.h"
#include "Dispatch/Dispatcher.h"

#include <map>

namespace Capacity {

/// An instance and what we have ordered for it.
struct instance_record {
    instance_entry entry;
    /// An order is with the manager, or had no answer and may still be carried out.
    bool isOrderOpen { false };
    bool isUnsettled { false };
    std::optional<move_order> move;
    std::optional<upkeep_order> upkeep;
    Common::instant changedAt;
    /// No order before this, after one was refused.
    Common::instant notBefore;
};

/// What the holder knows of the instances: the manager's list, and newer orders of its own.
class instance_book {
public:
    /// Takes a list whose reading began at `began`; what changed since then stays as it is.
    void update(const std::vector<instance_entry>&, Common::instant began);
    std::map<Common::instance_id, instance_record>& all() { return m_instances; }
    instance_record* find(const Common::instance_id&);
    bool hasList() const { return m_hasList; }
    bool hasOpenOrders() const;

private:
    std::map<Common::instance_id, instance_record> m_instances;
    bool m_hasList { false };
};

/// Whether nothing of ours runs on the instance, so that ending its worker ends no task.
bool isIdle(const instance_record&, const Dispatch::dispatcher&);

}
