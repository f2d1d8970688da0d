#pragma once

#include "Common/Endpoint.h"
#include "ControlPlane/LeaderCapacity.h"
#include "ControlPlane/WorkAdmission.h"
#include "Dispatch/Orders.h"
#include "EventLoop/RequestBudget.h"
#include "Records/RecordStore.h"

#include <optional>
#include <string>

/// The daemon on an entry instance: HTTP listeners, readers of the store and leader election.
namespace ControlPlane {

/// Settings of one entry instance.
struct entry_node_settings {
    /// Name of the instance.
    std::string node;
    Common::endpoint callers;
    /// What the callers' connections and requests may use.
    EventLoop::request_budget_limits callerBudget;
    Common::endpoint readiness;
    /// Address at which counters are served; empty for none.
    std::optional<Common::endpoint> metrics;
    Common::endpoint store;
    /// Instance manager; empty when there is none.
    std::optional<Common::endpoint> instanceManager;
    /// What the process can use; decides how soon it claims leadership.
    instance_capacity capacity;
    /// Time from the stop signal to the end of the process.
    Common::millis stopGrace { 6000 };
    /// Time for which the load balancer may send new connections after the instance has reported not ready. It checks
    /// once a second and removes an instance after two failed checks.
    Common::millis balancerRemovalTime { 2500 };
    Dispatch::worker_bounds workerBounds;
    Records::store_limits storeLimits;
    /// What the process keeps for accepted work.
    work_limits workLimits;
    /// Reads that the store takes from all instances together, per second.
    double storeReadsPerSecond { 2000 };
};

}
