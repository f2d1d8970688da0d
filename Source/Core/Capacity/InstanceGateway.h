#pragma once

#include "Capacity/Instances.h"

#include <functional>

namespace Capacity {

/// Connection to the instance manager. Orders carry the leader's name and fencing token; repeating an order that was
/// carried out gives `Done` again.
class instance_gateway {
public:
    virtual ~instance_gateway() = default;

    using outcome_handler = std::function<void(instance_outcome)>;
    /// Lists all instances; the handler gets nullopt unless the list is complete.
    virtual void list(Common::millis timeout, std::function<void(std::optional<std::vector<instance_entry>>)>) = 0;
    virtual void move(const move_order&, Dispatch::fencing_token, Common::millis timeout, outcome_handler) = 0;
    virtual void startMaintenance(
        const maintenance_order&, Dispatch::fencing_token, Common::millis timeout, outcome_handler)
        = 0;
};

}
