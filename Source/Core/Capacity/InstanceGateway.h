#pragma once

#include "Capacity/Instances.h"

#include <functional>

namespace Capacity {

/// The manager of the instances. Orders carry the holder's name and token; one already carried out is `Done`.
class instance_gateway {
public:
    virtual ~instance_gateway() = default;

    using outcome_handler = std::function<void(instance_outcome)>;
    /// All instances; empty without a whole answer.
    virtual void list(Common::millis timeout, std::function<void(std::optional<std::vector<instance_entry>>)>) = 0;
    virtual void move(const move_order&, Dispatch::fencing_token, Common::millis timeout, outcome_handler) = 0;
    virtual void upkeep(const upkeep_order&, Dispatch::fencing_token, Common::millis timeout, outcome_handler) = 0;
};

}
