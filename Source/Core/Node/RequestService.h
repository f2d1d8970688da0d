#pragma once

#include "Node/FleetHub.h"
#include "Node/Metrics.h"
#include "Node/PeerClient.h"
#include "Node/PoolOffice.h"
#include "Node/WaiterTable.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Node {

/// What is known of a request that somebody asks about.
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
    /// Why it wasn't accepted, or that this isn't known.
    Requests::outcome refusal;
};

/// Serves callers: checks the key, finds the holder of the pool, and sees a request through to its
/// outcome, also when the holder is lost on the way. Takes the hub's lock itself.
class request_service {
public:
    struct parts {
        fleet_hub& hub;
        pool_office& pools;
        peer_client& peers;
        waiter_table& waiters;
        metrics& figures;
    };

    explicit request_service(parts chosen)
        : m_parts(chosen)
    {
    }

    /// Runs a request and waits for its outcome.
    Requests::outcome run(Requests::submission);
    /// Takes work into its queue for good.
    queue_receipt enqueue(const Requests::submission&);
    /// Tells what is known of a request to the team whose key came with the question.
    request_report find(const Requests::submission& reference);
    Requests::outcome cancel(const Requests::submission& reference);

    /// For requests and questions that another daemon forwarded to this one.
    Requests::outcome serveForwarded(const forwarded_request&);
    Requests::outcome serveAwait(const await_query&);
    Requests::outcome serveSettle(const settle_query&);

    /// From now on new requests are refused; those that were taken are answered.
    void stopTaking() { m_stopping = true; }
    /// Requests of callers that aren't answered yet.
    std::int64_t open() const { return m_open; }
    /// Requests of other daemons that aren't answered yet, or whose answer wasn't fetched yet.
    std::int64_t forwarded();

private:
    struct route {
        Requests::work_identity identity;
        Common::key_hash key;
        std::optional<Requests::refusal_reason> refusal;
        /// Empty while the pool has no holder.
        std::optional<Fleet::shard_holding> holder;
        Common::endpoint address;
        bool isLocal { false };
    };
    struct attempt_result {
        Requests::outcome result;
        /// Nothing has run; the request may be tried at another holder.
        bool retry { false };
        /// The holder got the request, perhaps, and didn't answer.
        bool isUnsettled { false };
    };

    route routeOf(const Requests::submission&, Common::instant now);
    attempt_result attempt(const route&, const forwarded_request&);
    Requests::outcome runUntil(Requests::submission&, Common::instant deadline);
    Requests::outcome settleUntil(const Requests::submission&, const std::string& forwardId, Common::instant deadline);
    /// A forwarded request that its forwarder asks for again and again.
    struct held_forward {
        std::unique_ptr<waiter_table::registration> waiting;
        Common::instant deadline;
    };

    Requests::outcome offerHere(const forwarded_request&);
    Requests::outcome forwardTo(const Common::endpoint&, const forwarded_request&, peer_failure&);
    Requests::outcome waitShortly(const std::string& forwardId, held_forward);
    /// With the lock of the held requests taken.
    void dropExpiredHeld();
    void keepHeld(const std::string& forwardId, held_forward);
    std::optional<held_forward> takeHeld(const std::string& forwardId);

    parts m_parts;
    std::mutex m_heldLock;
    std::map<std::string, held_forward> m_held;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::int64_t> m_open { 0 };
    std::atomic<std::int64_t> m_forwarded { 0 };
};

}
