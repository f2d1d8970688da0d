#pragma once

#include "Capacity/DemandForecast.h"
#include "Capacity/InstanceRegistry.h"

#include <set>

namespace Capacity {

/// A pool's state in the last plan, counted in instances.
struct pool_survey {
    Common::pool_id pool;
    int wanted { 0 };
    int present { 0 };
    int idle { 0 };
    Dispatch::pool_demand demand;
    /// The multiple of the demand that is expected when an instance that is ordered now is there.
    double growth { 1 };
};

struct sizer_options {
    /// Spare capacity beyond the demand, as a share of it.
    double headroom { 0.1 };
    /// Spare instances of each pool beyond the demand.
    int reserve { 1 };
    /// A pool returns instances to the spare pool only after it has had a surplus for this time.
    Common::millis surplusDelay { 1000 };
    /// Share of the demand of steps with unmet dependencies that counts as demand.
    double blockedShare { 0.25 };
    /// Until a pool was first asked for work that ends, it keeps its instances for at most this time after the leader began.
    Common::millis unknownDemandHold { 30'000 };
    forecast_options forecast;
};

/// The time of a plan by the clock of leases and by the wall clock.
struct plan_time {
    Common::instant now;
    Common::wall_millis wall;
};

/// Moves instances to pools with unmet demand, and unneeded ones to the spare pool, where they cost nothing. If there
/// are too few, they are divided in proportion to the pools' demand; what is expected is met after that, and the demand of
/// late jobs last.
class pool_sizer {
public:
    explicit pool_sizer(const sizer_options&);

    void plan(const Rules::fleet_rules&, instance_registry&, Dispatch::dispatcher&, const plan_time&, capacity_orders&);
    const std::vector<pool_survey>& lastSurvey() const { return m_lastSurvey; }
    void onMove(instance_registry&, const move_order&, instance_outcome, Common::instant now);

private:
    struct busy_instance {
        Common::millicores usedProcessor;
        instance_record* record { nullptr };
    };
    struct pool_state {
        bool isSpare { false };
        /// Full capacity of one of its instances; empty when it has none.
        std::optional<Jobs::resources> instanceSize;
        /// What the capacities of its workers have shrunk by.
        Jobs::resources lost;
        /// Instances needed now by jobs that can meet their deadline; what is expected beyond that, and for tasks that may
        /// not share a worker; and the target with late jobs included.
        int onTime { 0 };
        int expected { 0 };
        int wanted { 0 };
        /// Usable now or soon.
        int present { 0 };
        Dispatch::pool_demand demand;
        double growth { 1 };
        std::vector<instance_record*> idle;
        /// Busy instances that could be drained, the least busy first.
        std::vector<busy_instance> busy;
    };
    using pool_states = std::map<Common::pool_id, pool_state>;

    pool_states survey(const Rules::fleet_rules&, instance_registry&, Dispatch::dispatcher&, const plan_time&);
    void count(instance_record&, pool_state&, Dispatch::dispatcher&, Common::instant now);
    /// Instances that replace capacity that was lost.
    static int instancesLost(const Jobs::resources& lost, const Jobs::resources& each);
    int instancesFor(const Jobs::resources& need, const Jobs::resources& each) const;
    /// Sets how many instances the pool needs for jobs that can be on time.
    void estimateNeed(const Common::pool_id&, pool_state&, const Jobs::resources& each, Common::instant now);
    /// Whether nothing is known of how much the pool will be asked for.
    bool isDemandUnknown(const Common::pool_id&, Common::instant now) const;
    /// Measures how long moves take.
    void noteArrival(const instance_record&, const Dispatch::worker_state*, Common::instant now);
    /// Sets `wanted` of each pool.
    static void divideInstances(pool_states&, const std::map<Common::pool_id, int>& instancesForLate);
    void coverShortages(pool_states&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    void releaseSurplus(pool_states&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    void drainBusy(pool_states&, Dispatch::dispatcher&);
    /// Uncordons instances that were drained but not moved.
    void uncordonIdle(instance_registry&, Dispatch::dispatcher&);
    bool moveIdleTo(pool_states&, const Common::pool_id& receiver, Dispatch::dispatcher&, Common::instant now,
        capacity_orders&);
    bool move(instance_record&, const Common::pool_id&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);

    sizer_options m_options;
    demand_forecast m_forecast;
    /// When the instances that are on their way were ordered to move.
    std::map<Common::instance_id, Common::instant> m_underWay;
    std::vector<pool_survey> m_lastSurvey;
    /// Pools that were asked for work that ends.
    std::set<Common::pool_id> m_withDemand;
    std::optional<Common::instant> m_firstPlanAt;
    /// When each pool's present surplus began.
    std::map<Common::pool_id, Common::instant> m_surplusSince;
    /// Instances whose workers are cordoned so that they become idle and can be moved.
    std::set<Common::instance_id> m_draining;
    /// Moves that the manager rejected because the instance can't belong to the pool.
    std::set<std::pair<Common::instance_id, Common::pool_id>> m_rejectedMoves;
};

}
