#pragma once

#include "Node/Metrics.h"
#include "Node/NodeContext.h"
#include "Node/PeerClient.h"
#include "Node/PoolManager.h"
#include "Node/WaiterTable.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Node {

/// State of a request, as reported to a caller.
enum class request_state {
    NotFound,
    Queued,
    Running,
    Finished
};

struct request_report {
    request_state state { request_state::NotFound };
    Requests::outcome result;
};

/// Acknowledgement of queued work.
struct queue_receipt {
    bool accepted { false };
    Common::log_offset offset;
    /// Reason for the refusal; `Unknown` when the work may have been accepted.
    Requests::outcome refusal;
};

/// Serves callers: checks the key, finds the holder of the pool, and runs a request to its outcome, with
/// retries when the holder moves or fails. Called without the lock of the node context.
class request_service {
public:
    struct parts {
        node_context& context;
        pool_manager& pools;
        peer_client& peers;
        waiter_table& waiters;
        metrics& outcomeMetrics;
    };

    explicit request_service(parts chosen)
        : m_parts(chosen)
    {
    }

    /// Runs a request and waits for its outcome.
    Requests::outcome run(Requests::submission);
    /// Queues work durably in the log and waits for the acknowledgement.
    queue_receipt enqueue(const Requests::submission&);
    /// Returns the state of a request of the team whose key is given.
    request_report find(const Requests::submission& reference);
    Requests::outcome cancel(const Requests::submission& reference);

    /// Serves calls forwarded by other daemons.
    Requests::outcome serveForwarded(const forwarded_request&);
    Requests::outcome serveAwait(const await_query&);
    Requests::outcome serveSettle(const settle_query&);

    /// Refuses new requests; accepted ones are still answered.
    void stopAccepting() { m_stopping = true; }
    /// Number of callers' requests that aren't answered yet.
    std::int64_t openCount() const { return m_open; }
    /// Number of other daemons' requests that aren't answered, or whose answer hasn't been fetched.
    std::int64_t forwardedCount();

private:
    struct route {
        Requests::work_identity identity;
        Common::key_hash key;
        std::optional<Requests::refusal_reason> refusal;
        /// Empty while the pool has no holder.
        std::optional<Fleet::shard_assignment> holder;
        Common::endpoint address;
        bool isLocal { false };
    };
    struct attempt_result {
        Requests::outcome result;
        /// Nothing has run; the request may be retried at another holder.
        bool retry { false };
        /// The holder may have received the request and didn't answer.
        bool isOutcomeUnknown { false };
    };

    route routeOf(const Requests::submission&, Common::instant now);
    attempt_result attempt(const route&, const forwarded_request&);
    Requests::outcome runUntil(Requests::submission&, Common::instant deadline);
    Requests::outcome settleUntil(const Requests::submission&, const std::string& forwardId, Common::instant deadline);
    /// A forwarded request whose outcome its forwarder polls for.
    struct pending_forward {
        std::unique_ptr<waiter_table::registration> waiting;
        Common::instant deadline;
    };

    Requests::outcome submitLocally(const forwarded_request&);
    Requests::outcome forwardTo(const Common::endpoint&, const forwarded_request&, peer_failure&);
    Requests::outcome waitForOutcome(const std::string& forwardId, pending_forward);
    /// Called with `m_pendingLock` held.
    void dropExpiredForwards();
    void keepPending(const std::string& forwardId, pending_forward);
    std::optional<pending_forward> takePending(const std::string& forwardId);

    parts m_parts;
    std::mutex m_pendingLock;
    std::map<std::string, pending_forward> m_pendingForwards;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::int64_t> m_open { 0 };
    std::atomic<std::int64_t> m_forwarded { 0 };
};

}
