#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ControlPlane {

/// Event counters by name, since the start of the process.
class counters {
public:
    void add(const std::string& name, std::int64_t amount = 1) { m_counts[name] += amount; }
    const std::map<std::string, std::int64_t>& all() const { return m_counts; }

private:
    std::map<std::string, std::int64_t> m_counts;
};

}
