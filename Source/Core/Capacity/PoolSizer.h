#pragma once

#include "Capacity/InstanceBook.h"

#include <set>

namespace Capacity {

/// What the last plan saw of a pool.
struct pool_survey {
    Common::pool_id pool;
    int wanted { 0 };
    int present { 0 };
    int idle { 0 };
    Dispatch::pool_demand demand;
};

struct sizer_options {
    /// Room beyond what is asked for, as a share of it.
    double headroom { 0.1 };
    /// Instances beyond what is asked for.
    int reserve { 1 };
    /// A pool gives an instance away only after it could spare it for so long.
    Common::millis patience { 1000 };
    /// Part of the work of steps that wait for others that counts as asked for.
    double laterShare { 0.5 };
};

/// Moves instances to where work waits, and those that nobody needs to the spare pool, where they cost nothing.
class pool_sizer {
public:
    explicit pool_sizer(const sizer_options&);

    void plan(const Rules::fleet_rules&, instance_book&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    const std::vector<pool_survey>& lastSurvey() const { return m_lastSurvey; }
    void onMove(instance_book&, const move_order&, instance_outcome, Common::instant now);

private:
    struct pool_state {
        int wanted { 0 };
        int present { 0 };
        std::vector<instance_record*> idle;
        Dispatch::pool_demand demand;
    };

    std::map<Common::pool_id, pool_state> survey(const Rules::fleet_rules&, instance_book&, Dispatch::dispatcher&,
        Common::instant now);
    int wantedIn(const Dispatch::pool_demand&, const Jobs::resources& instance) const;
    bool move(instance_record&, const Common::pool_id&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);

    sizer_options m_options;
    std::vector<pool_survey> m_lastSurvey;
    /// Since when a pool has had more than it wants.
    std::map<Common::pool_id, Common::instant> m_surplusSince;
    /// Pools that the manager says are of other instances.
    std::set<std::pair<Common::instance_id, Common::pool_id>> m_unfit;
};

}
