#pragma once

#include "Capacity/CapacityPlanner.h"
#include "Capacity/InstanceGateway.h"
#include "Records/BatchAppender.h"
#include "Station/Counters.h"
#include "Station/Feeds.h"

#include <memory>

namespace Station {

struct fleet_parts {
    Records::record_store& store;
    Records::timer_service& timers;
    Capacity::instance_gateway& instances;
    const operator_format& format;
    Records::topic_part statusTopic;
    counters& figures;
};

/// The leader's link to the instance manager: reads the instances, sends moves and maintenance orders, and publishes
/// the status of maintenance waves.
class fleet_run : public std::enable_shared_from_this<fleet_run> {
public:
    /// Stores the state of a wave for later leaders.
    using wave_storer = std::function<void(const Capacity::wave_status&, std::function<void()> onStored)>;

    fleet_run(const fleet_parts&, Dispatch::fencing_token, Dispatch::dispatcher&, wave_storer);

    void start(const std::map<std::int64_t, Capacity::wave_status>& known);
    void stop() { m_isOver = true; }
    /// Whether the instance manager has unanswered orders.
    bool hasOpenOrders() const { return m_openOrders > 0; }
    void setRules(const Rules::fleet_rules&);
    void setWaves(const std::map<std::int64_t, Rules::upkeep_wave>&);
    /// Plans and sends orders, at most once per planning interval.
    void plan(bool mayOrder);

private:
    void readInstances();
    void sendOrders(const Capacity::capacity_orders&);
    void reportPools(Common::instant now);
    void publishChanges();
    void publishStatus(const Capacity::wave_status&);

    fleet_parts m_parts;
    Dispatch::fencing_token m_token;
    Dispatch::dispatcher& m_dispatcher;
    wave_storer m_storeWave;
    Capacity::capacity_planner m_planner;
    Common::instant m_plannedAt;
    Common::instant m_reportedAt;
    /// Whether each wave was completed when its status was last published.
    std::map<std::int64_t, bool> m_published;
    int m_openOrders { 0 };
    bool m_isOver { false };
};

}
