#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace EventLoop {

/// Calls of one kind and the bytes of their messages, headers included.
struct traffic_count {
    std::uint64_t calls { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t receivedBytes { 0 };
};

/// Counts the traffic of the process by kind of call, since its start.
class traffic_meter {
public:
    void add(const std::string& kind, std::size_t sentBytes, std::size_t receivedBytes)
    {
        auto& count = m_counts[kind];
        ++count.calls;
        count.sentBytes += sentBytes;
        count.receivedBytes += receivedBytes;
    }
    const std::map<std::string, traffic_count>& all() const { return m_counts; }

private:
    std::map<std::string, traffic_count> m_counts;
};

}
