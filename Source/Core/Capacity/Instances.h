#pragma once

#include "Dispatch/Orders.h"

#include <optional>
#include <string>
#include <vector>

/// Decides which instances belong to which pool, and when each is maintained.
namespace Capacity {

enum class instance_state {
    Up,
    Moving,
    Maintenance,
    Down
};

/// An instance as listed by the instance manager.
struct instance_entry {
    Common::instance_id id;
    Common::pool_id pool;
    instance_state state { instance_state::Up };
    Common::data_centre_id dataCentre;
    std::vector<std::string> labels;
    Jobs::resources capacity;
    /// Worker that runs on it; empty when none does.
    Common::worker_id worker;
};

struct move_order {
    Common::instance_id instance;
    Common::pool_id pool;
};

struct maintenance_order {
    Common::instance_id instance;
    std::int64_t wave { 0 };
};

enum class instance_outcome {
    Done,
    /// The manager has seen a higher fencing token for the instance.
    Fenced,
    /// The instance isn't up, or is already leaving its pool.
    Busy,
    /// The instance isn't part of the wave.
    NotInWave,
    /// There is no such instance, or it can't belong to the pool.
    Invalid,
    /// Nothing was done; the order may be retried.
    Refused,
    /// The order may have been carried out, or may still be.
    NoAnswer
};

struct capacity_orders {
    std::vector<move_order> moves;
    std::vector<maintenance_order> maintenanceOrders;
};

}
