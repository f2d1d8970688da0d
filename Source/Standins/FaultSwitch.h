#pragma once

#include "Common/Clock.h"

#include <map>
#include <mutex>
#include <string>

namespace Standins {

/// Faults that a test turns on and off by name, each with a number whose meaning is the fault's own.
class fault_switch {
public:
    void set(const std::string& name, std::int64_t value);
    /// Zero when the fault is off.
    std::int64_t value(const std::string& name) const;
    bool isOn(const std::string& name) const { return value(name) != 0; }
    /// Counts a limited fault down. True while it is on.
    bool take(const std::string& name);

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::int64_t> m_values;
};

}
