#pragma once

#include "Common/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace EventLoop {

/// Number of a connection, unique in its listener.
enum class connection_number : std::uint64_t {};

/// What the connections of one listener may use together.
struct request_budget_limits {
    std::size_t connections { 3000 };
    /// Bytes of the requests that are being received or answered.
    std::size_t heldBytes { 32U << 20U };
};

/// Limits for a process with this much memory and this many descriptors; the defaults where a figure isn't known.
request_budget_limits budgetFor(std::optional<std::size_t> memoryMegabytes, std::optional<std::size_t> descriptors);

enum class closing_reason {
    HeldBytes,
    Connections
};

/// A connection to be closed without an answer, and what decided it.
struct closing_order {
    connection_number connection {};
    closing_reason reason { closing_reason::HeldBytes };
    /// Bytes that the connection held.
    std::size_t bytes { 0 };
    /// Time since its request began, or since it became idle.
    Common::millis age { 0 };
};

struct admission {
    bool isAdmitted { false };
    /// Connection whose place the new one takes.
    std::optional<closing_order> replaced;
};

/// Bounds the memory and the connections of a listener. It answers the load of callers that keep no limits: many
/// requests at once that are large or never end, and many connections that stay open. While a limit is used up, the
/// connection that holds most or has been incomplete longest is closed. No answer is sent on it: whether an earlier
/// request with the same identifier was accepted isn't known here. A request that was received whole is never ended.
class request_budget {
public:
    explicit request_budget(const request_budget_limits& limits)
        : m_limits(limits)
    {
    }

    admission admit(connection_number, Common::instant now);
    /// The first byte of a request has arrived.
    void beginRequest(connection_number, Common::instant now);
    /// An incomplete request now holds `bytes`. Returns the connections to close, which may include this one; they are
    /// released.
    std::vector<closing_order> hold(connection_number, std::size_t bytes, Common::instant now);
    /// The request is complete; its connection stays until the answer is sent.
    void beginAnswer(connection_number);
    void endAnswer(connection_number, Common::instant now);
    void release(connection_number);

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t connections() const { return m_connections.size(); }
    const request_budget_limits& limits() const { return m_limits; }

private:
    enum class phase {
        /// No complete request so far.
        New,
        Idle,
        Receiving,
        Answering
    };
    struct connection_use {
        phase now { phase::New };
        Common::instant since;
        std::size_t bytes { 0 };
    };

    void setBytes(connection_use&, std::size_t bytes);
    closing_order close(connection_number, closing_reason, Common::instant now);
    std::optional<connection_number> largestIncomplete() const;
    std::optional<connection_number> longestIncomplete() const;

    request_budget_limits m_limits;
    std::map<connection_number, connection_use> m_connections;
    std::size_t m_heldBytes { 0 };
};

}
