#pragma once

#include "Common/Endpoint.h"
#include "Node/PeerMessages.h"

#include <optional>

namespace Node {

enum class peer_failure {
    None,
    /// Nothing was sent: nothing listens there.
    NotReached,
    /// Sent, but no whole answer came.
    NoAnswer
};

/// Longest time in which a holder answers a call about a request, if only that it still holds it. A
/// holder that has gone silent is noticed this soon.
constexpr Common::millis holderAnswersWithin { 1000 };

/// Calls to other daemons. Safe for concurrent use.
class peer_client {
public:
    virtual ~peer_client() = default;

    virtual std::optional<vote_reply> askPromise(const Common::endpoint&, const Roster::promise_request&) = 0;
    virtual std::optional<vote_reply> askBacking(const Common::endpoint&, const Roster::backing_request&) = 0;
    virtual std::optional<permit_exchange_reply> exchangePermits(const Common::endpoint&, const permit_exchange&) = 0;
    virtual std::optional<view_reply> view(const Common::endpoint&) = 0;
    virtual std::optional<cancel_reply> cancel(const Common::endpoint&, const Requests::work_identity&) = 0;

    /// Forwards a request. The outcome `Unknown` with `StillWaiting` says to ask on with `await`.
    /// Empty on a failure, which `failure` tells.
    virtual std::optional<Requests::outcome> forward(
        const Common::endpoint&, const forwarded_request&, peer_failure& failure)
        = 0;
    virtual std::optional<Requests::outcome> await(
        const Common::endpoint&, const await_query&, peer_failure& failure)
        = 0;
    virtual std::optional<Requests::outcome> settle(
        const Common::endpoint&, const settle_query&, peer_failure& failure)
        = 0;
};

}
