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

/// The holder's dealings with the manager of instances: reads its list, carries out moves and upkeeps, and
/// shows the state of waves.
class fleet_run : public std::enable_shared_from_this<fleet_run> {
public:
    /// Keeps what a later holder must know of a wave.
    using wave_keeper = std::function<void(const Capacity::wave_status&, std::function<void()> onStored)>;

    fleet_run(const fleet_parts&, Dispatch::fencing_token, Dispatch::dispatcher&, wave_keeper);

    void start(const std::map<std::int64_t, Capacity::wave_status>& known);
    void stop() { m_isOver = true; }
    /// Orders to the manager that have no answer yet.
    bool hasOpenOrders() const { return m_openOrders > 0; }
    void setRules(const Rules::fleet_rules&);
    void setWaves(const std::map<std::int64_t, Rules::upkeep_wave>&);
    /// Plans, when the last plan is old enough.
    void turn(bool mayOrder);

private:
    void readList();
    void carryOut(const Capacity::capacity_orders&);
    void reportPools(Common::instant now);
    void showChanges();
    void showStatus(const Capacity::wave_status&);

    fleet_parts m_parts;
    Dispatch::fencing_token m_token;
    Dispatch::dispatcher& m_dispatcher;
    wave_keeper m_keep;
    Capacity::capacity_planner m_planner;
    Common::instant m_plannedAt;
    Common::instant m_reportedAt;
    /// Last state that operators were shown of each wave.
    std::map<std::int64_t, bool> m_shown;
    int m_openOrders { 0 };
    bool m_isOver { false };
};

}
