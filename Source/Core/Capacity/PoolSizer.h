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
    /// A pool gives an instance to the spare pool only after it could spare it for so long.
    Common::millis patience { 1000 };
    /// Part of the work of steps that wait for others that counts as asked for.
    double laterShare { 0.25 };
};

/// A moment by the clock of leases and by the wall clock.
struct moment {
    Common::instant now;
    Common::wall_millis wall;
};

/// Moves instances to where work waits, and those that nobody needs to the spare pool, where they cost nothing.
/// When there are too few, each pool gets its share of what it asks for; jobs that are late anyway come last.
class pool_sizer {
public:
    explicit pool_sizer(const sizer_options&);

    void plan(const Rules::fleet_rules&, instance_book&, Dispatch::dispatcher&, const moment&, capacity_orders&);
    const std::vector<pool_survey>& lastSurvey() const { return m_lastSurvey; }
    void onMove(instance_book&, const move_order&, instance_outcome, Common::instant now);

private:
    struct pool_state {
        bool isSpare { false };
        /// For jobs that can end on time, and for all.
        int prompt { 0 };
        int wanted { 0 };
        /// Usable now or soon.
        int present { 0 };
        Dispatch::pool_demand demand;
        std::vector<instance_record*> idle;
        /// Busy ones that could be emptied, the least busy first.
        std::vector<instance_record*> busy;
    };
    using pool_states = std::map<Common::pool_id, pool_state>;

    pool_states survey(const Rules::fleet_rules&, instance_book&, Dispatch::dispatcher&, const moment&);
    void count(instance_record&, pool_state&, Dispatch::dispatcher&, Common::instant now);
    int instancesFor(const Jobs::resources& need, const Jobs::resources& each) const;
    static void share(pool_states&, const std::map<Common::pool_id, int>& forLate);
    void fill(pool_states&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    void release(pool_states&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    void empty(pool_states&, Dispatch::dispatcher&);
    /// Gives back those that were emptied and that nobody took.
    void restore(instance_book&, Dispatch::dispatcher&);
    bool takeIdle(pool_states&, const Common::pool_id& taker, Dispatch::dispatcher&, Common::instant now,
        capacity_orders&);
    bool move(instance_record&, const Common::pool_id&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);

    sizer_options m_options;
    std::vector<pool_survey> m_lastSurvey;
    /// Since when a pool has had more than it wants.
    std::map<Common::pool_id, Common::instant> m_surplusSince;
    /// Instances whose workers get no new work, so that they can be moved.
    std::set<Common::instance_id> m_emptying;
    /// Pools that the manager says are of other instances.
    std::set<std::pair<Common::instance_id, Common::pool_id>> m_unfit;
};

}
