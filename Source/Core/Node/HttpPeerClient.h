#pragma once

#include "Common/Clock.h"
#include "Node/PeerClient.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib {
class Client;
}

namespace Node {

/// Calls to other daemons over HTTP. Pools idle connections; a connection on which a call failed is closed.
class http_peer_client final : public peer_client {
public:
    explicit http_peer_client(Common::millis timeout);
    ~http_peer_client() override;

    std::optional<vote_reply> requestPromise(const Common::endpoint&, const Membership::promise_request&) override;
    std::optional<vote_reply> requestVote(const Common::endpoint&, const Membership::vote_request&) override;
    std::optional<permit_exchange_reply> exchangePermits(const Common::endpoint&, const permit_exchange&) override;
    std::optional<view_reply> view(const Common::endpoint&) override;
    std::optional<cancel_reply> cancel(const Common::endpoint&, const Requests::work_identity&) override;
    std::optional<Requests::outcome> forward(
        const Common::endpoint&, const forwarded_request&, peer_failure&) override;
    std::optional<Requests::outcome> await(const Common::endpoint&, const await_query&, peer_failure&) override;
    std::optional<Requests::outcome> settle(const Common::endpoint&, const settle_query&, peer_failure&) override;

private:
    struct call_options {
        const char* path;
        std::string body;
        Common::millis wait { 0 };
    };
    std::unique_ptr<httplib::Client> acquireClient(const Common::endpoint&);
    void returnClient(const Common::endpoint&, std::unique_ptr<httplib::Client>);
    std::optional<std::string> call(const Common::endpoint&, const call_options&, peer_failure&);
    template <typename Reply>
    std::optional<Reply> ask(const Common::endpoint&, const call_options&, peer_failure&);

    static constexpr std::size_t maxIdlePerPeer = 64;

    Common::millis m_timeout;
    std::mutex m_lock;
    std::map<Common::endpoint, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

}
