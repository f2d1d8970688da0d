#pragma once

#include "Capacity/CapacityPlanner.h"
#include "Capacity/InstanceGateway.h"
#include "ControlPlane/Counters.h"
#include "ControlPlane/Listeners.h"
#include "Records/BatchAppender.h"

#include <memory>

namespace ControlPlane {

struct capacity_controller_parts {
    Records::record_store& store;
    Records::timer_service& timers;
    Capacity::instance_gateway& instances;
    const operator_format& format;
    Records::topic_partition statusTopic;
    counters& eventCounters;
};

/// The leader's link to the instance manager: reads the instances, sends moves and maintenance orders, and publishes
/// the status of maintenance waves.
class capacity_controller : public std::enable_shared_from_this<capacity_controller> {
public:
    /// Stores the state of a wave for later leaders.
    using wave_storer = std::function<void(const Capacity::wave_status&, std::function<void()> onStored)>;

    capacity_controller(const capacity_controller_parts&, Dispatch::fencing_token, Dispatch::dispatcher&, wave_storer);

    void start(const std::map<std::int64_t, Capacity::wave_status>& known);
    void stop() { m_isOver = true; }
    /// Whether the instance manager has unanswered orders.
    bool hasOpenOrders() const { return m_openOrders > 0; }
    void setRules(const Rules::fleet_rules&);
    void setWaves(const std::map<std::int64_t, Rules::maintenance_wave>&);
    /// Plans and sends orders, at most once per planning interval.
    void plan(bool mayOrder);

private:
    void readInstances();
    void sendOrders(const Capacity::capacity_orders&);
    void reportPools(Common::instant now);
    void publishChanges();
    void publishStatus(const Capacity::wave_status&);

    capacity_controller_parts m_parts;
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
