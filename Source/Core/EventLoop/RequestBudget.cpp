#include "EventLoop/RequestBudget.h"

#include <algorithm>
#include <tuple>

namespace EventLoop {

namespace {

    /// Decoding and storing a request takes several times its size.
    constexpr std::size_t memoryParts = 8;
    /// Room for a few requests of the largest size.
    constexpr std::size_t leastHeldBytes = 1U << 20U;
    constexpr std::size_t bytesPerMegabyte = 1U << 20U;
    constexpr std::size_t mostMegabytes = 1U << 20U;

}

request_budget_limits budgetFor(std::optional<std::size_t> memoryMegabytes, std::optional<std::size_t> descriptors)
{
    request_budget_limits limits;
    if (memoryMegabytes)
        limits.heldBytes = std::max(leastHeldBytes, std::min(*memoryMegabytes, mostMegabytes) * bytesPerMegabyte / memoryParts);
    // A quarter is left for the store, the workers and the other listeners.
    if (descriptors)
        limits.connections = std::clamp<std::size_t>(*descriptors / 4 * 3, 1, limits.connections);
    return limits;
}

admission request_budget::admit(connection_number number, Common::instant now)
{
    admission result { .isAdmitted = true, .replaced = std::nullopt };
    if (m_connections.size() >= m_limits.connections) {
        const auto oldest = longestIncomplete();
        if (!oldest)
            return {};
        result.replaced = close(*oldest, closing_reason::Connections, now);
    }
    m_connections[number] = { .now = phase::New, .since = now };
    return result;
}

void request_budget::beginRequest(connection_number number, Common::instant now)
{
    auto& use = m_connections.at(number);
    use.now = phase::Receiving;
    use.since = now;
}

std::vector<closing_order> request_budget::hold(connection_number number, std::size_t bytes, Common::instant now)
{
    setBytes(m_connections.at(number), bytes);
    std::vector<closing_order> orders;
    while (m_heldBytes > m_limits.heldBytes) {
        const auto largest = largestIncomplete();
        if (!largest)
            break;
        orders.push_back(close(*largest, closing_reason::HeldBytes, now));
    }
    return orders;
}

void request_budget::beginAnswer(connection_number number) { m_connections.at(number).now = phase::Answering; }

void request_budget::endAnswer(connection_number number, Common::instant now)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end())
        return;
    setBytes(found->second, 0);
    found->second.now = phase::Idle;
    found->second.since = now;
}

void request_budget::release(connection_number number)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end())
        return;
    m_heldBytes -= found->second.bytes;
    m_connections.erase(found);
}

void request_budget::setBytes(connection_use& use, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - use.bytes + bytes;
    use.bytes = bytes;
}

closing_order request_budget::close(connection_number number, closing_reason reason, Common::instant now)
{
    const auto& use = m_connections.at(number);
    const closing_order order { .connection = number,
        .reason = reason,
        .bytes = use.bytes,
        .age = Common::elapsed(use.since, now) };
    release(number);
    return order;
}

std::optional<connection_number> request_budget::largestIncomplete() const
{
    std::optional<connection_number> largest;
    const auto rank = [](const connection_use& use) { return std::tuple(use.bytes, -use.since.time_since_epoch()); };
    for (const auto& [number, use] : m_connections) {
        if (use.now == phase::Receiving && (!largest || rank(use) > rank(m_connections.at(*largest))))
            largest = number;
    }
    return largest;
}

std::optional<connection_number> request_budget::longestIncomplete() const
{
    std::optional<connection_number> longest;
    // Callers that have completed a request are likely to send another one.
    const auto rank = [](const connection_use& use) { return std::tuple(use.now == phase::Idle, use.since); };
    for (const auto& [number, use] : m_connections) {
        if (use.now != phase::Answering && (!longest || rank(use) < rank(m_connections.at(*longest))))
            longest = number;
    }
    return longest;
}

}
