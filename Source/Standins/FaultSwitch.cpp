#include "Standins/FaultSwitch.h"

namespace Standins {

void fault_switch::set(const std::string& name, std::int64_t value)
{
    const std::lock_guard lock(m_lock);
    m_values[name] = value;
}

std::int64_t fault_switch::value(const std::string& name) const
{
    const std::lock_guard lock(m_lock);
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

bool fault_switch::consume(const std::string& name)
{
    const std::lock_guard lock(m_lock);
    const auto found = m_values.find(name);
    if (found == m_values.end() || found->second == 0)
        return false;
    --found->second;
    return true;
}

}
