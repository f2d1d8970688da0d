#pragma once

#include "Common/Clock.h"

#include <map>
#include <mutex>
#include <string>

namespace Standins {

/// Injected faults, set by name. The meaning of the value depends on the fault: a count, a time, a percentage, or
/// on and off.
class fault_switch {
public:
    void set(const std::string& name, std::int64_t value);
    /// Zero when the fault is off.
    std::int64_t value(const std::string& name) const;
    bool isOn(const std::string& name) const { return value(name) != 0; }
    /// For faults with a count: uses up one occurrence. False if none is left.
    bool consume(const std::string& name);

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::int64_t> m_values;
};

}
