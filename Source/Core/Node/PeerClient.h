#pragma once

#include "Common/Endpoint.h"
#include "Node/PeerMessages.h"

#include <optional>

namespace Node {

enum class peer_failure {
    None,
    /// The connection failed; nothing was sent.
    NotReached,
    /// The call was sent, but no complete answer came.
    NoAnswer
};

/// A holder answers a call about a request within this time, if only with `StillWaiting`, so that callers
/// notice an unresponsive holder.
constexpr Common::millis maxHolderReplyTime { 1000 };

/// Calls to other daemons. Safe for concurrent use.
class peer_client {
public:
    virtual ~peer_client() = default;

    virtual std::optional<vote_reply> requestPromise(const Common::endpoint&, const Membership::promise_request&) = 0;
    virtual std::optional<vote_reply> requestVote(const Common::endpoint&, const Membership::vote_request&) = 0;
    virtual std::optional<permit_exchange_reply> exchangePermits(const Common::endpoint&, const permit_exchange&) = 0;
    virtual std::optional<view_reply> view(const Common::endpoint&) = 0;
    virtual std::optional<cancel_reply> cancel(const Common::endpoint&, const Requests::work_identity&) = 0;

    /// Forwards a request. The outcome `Unknown` with `StillWaiting` means: ask again with `await`.
    /// Empty on a failure, which is stored in `failure`.
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
