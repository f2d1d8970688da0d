#pragma once

#include "Dispatch/Orders.h"

#include <optional>
#include <string>
#include <vector>

/// Which instances belong to which pool, and when each is maintained.
namespace Capacity {

enum class instance_state {
    Up,
    Moving,
    Upkeep,
    Down
};

/// An instance as its manager lists it.
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

struct upkeep_order {
    Common::instance_id instance;
    std::int64_t wave { 0 };
};

enum class instance_outcome {
    Done,
    /// A holder with a higher token has given orders for the instance.
    Fenced,
    /// Not up, or leaving.
    Busy,
    /// The instance isn't part of the wave.
    NotInWave,
    /// No such instance, or the pool is one of other instances.
    Invalid,
    /// Nothing was done; it may be tried again.
    Refused,
    /// May have been carried out, or may be later.
    NoAnswer
};

struct capacity_orders {
    std::vector<move_order> moves;
    std::vector<upkeep_order> upkeeps;
};

}
