#pragma once

#include "Capacity/InstanceRegistry.h"

#include <set>

namespace Capacity {

/// Progress of a wave, as stored and as shown to operators.
struct wave_status {
    std::int64_t wave { 0 };
    bool isCompleted { false };
    /// Instances whose maintenance has begun, or that need none.
    std::set<Common::instance_id> begun;
};

/// Starts maintenance of each instance of a wave within the wave's duration. Never has more instances down than the
/// wave allows, and evicts tasks only within their steps' disruption budgets.
class wave_planner {
public:
    void setWaves(const std::map<std::int64_t, Rules::maintenance_wave>&, Common::instant now);
    /// Restores the progress of a wave that an earlier leader stored.
    void restore(const wave_status&);
    /// Orders maintenance of idle instances, and cordons workers to drain further ones.
    void plan(instance_registry&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    void onMaintenance(instance_registry&, const maintenance_order&, instance_outcome, Common::instant now);
    /// Waves whose status has changed since the last call.
    std::vector<wave_status> takeChanges();

private:
    struct open_wave {
        Rules::maintenance_wave wave;
        wave_status status;
        Common::instant since;
        bool isReported { false };
        std::set<Common::instance_id> cordoned;
    };

    void planWave(open_wave&, instance_registry&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    static int downCount(const open_wave&, instance_registry&);
    static int drainLimit(const open_wave&, Common::instant now);
    static void orderMaintenance(open_wave&, instance_record&, Common::instant now, capacity_orders&);
    void completeIfDone(open_wave&, instance_registry&);

    std::map<std::int64_t, open_wave> m_waves;
    std::map<std::int64_t, wave_status> m_restored;
    std::set<std::int64_t> m_changed;
};

}
