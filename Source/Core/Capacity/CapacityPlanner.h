#pragma once

#include "Capacity/PoolSizer.h"
#include "Capacity/WavePlanner.h"

namespace Capacity {

/// Plans orders for instances: maintenance waves first, then the sizes of the pools.
class capacity_planner {
public:
    explicit capacity_planner(const sizer_options&);

    void setRules(const Rules::fleet_rules& rules) { m_rules = rules; }
    void setWaves(const std::map<std::int64_t, Rules::maintenance_wave>&, Common::instant now);
    void restore(const wave_status& status) { m_waves.restore(status); }
    void onList(const std::vector<instance_entry>&, Dispatch::dispatcher&, Common::instant began, Common::instant now,
        Common::wall_millis wall);
    capacity_orders plan(Dispatch::dispatcher&, Common::instant now, Common::wall_millis wall);
    void onMove(const move_order&, instance_outcome, Dispatch::dispatcher&, Common::instant now);
    void onMaintenance(const maintenance_order&, instance_outcome, Common::instant now);
    const std::vector<pool_survey>& lastSurvey() const { return m_sizer.lastSurvey(); }
    std::vector<wave_status> takeChanges() { return m_waves.takeChanges(); }
    /// Whether instances are changing, so that the list should be read again soon.
    bool isChanging() const { return m_instances.hasOpenOrders(); }

private:
    void retryUnansweredMoves(Common::instant now, capacity_orders&);

    Rules::fleet_rules m_rules;
    instance_registry m_instances;
    wave_planner m_waves;
    pool_sizer m_sizer;
};

}
