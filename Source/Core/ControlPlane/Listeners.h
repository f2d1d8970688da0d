#pragma once

#include "Dispatch/Orders.h"
#include "Records/RecordStore.h"
#include "Rules/FleetRules.h"

#include <map>
#include <set>

namespace ControlPlane {

/// Receives changes that operators have stored.
class operator_listener {
public:
    virtual ~operator_listener() = default;
    virtual void rulesChanged(const Rules::fleet_rules&) = 0;
    virtual void evacuationsChanged(const std::set<Common::data_centre_id>&) = 0;
    virtual void wavesChanged(const std::map<std::int64_t, Rules::maintenance_wave>&) = 0;
};

/// Encodes records for operators.
class operator_format {
public:
    virtual ~operator_format() = default;
    virtual Records::keyed_record waveStatus(std::int64_t wave, bool isCompleted) const = 0;
};

/// Receives registrations and deregistrations of workers.
class worker_listener {
public:
    virtual ~worker_listener() = default;
    virtual void workerRegistered(const Dispatch::worker_entry&) = 0;
    virtual void workerUnregistered(const Common::worker_id&) = 0;
};

}
