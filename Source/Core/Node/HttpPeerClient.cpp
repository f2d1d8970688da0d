#include "Node/HttpPeerClient.h"

#include "Node/PeerCodec.h"

#include <httplib.h>

namespace Node {

namespace {

    constexpr int httpOk = 200;

}

http_peer_client::http_peer_client(Common::millis timeout)
    : m_timeout(timeout)
{
}

http_peer_client::~http_peer_client() = default;

std::unique_ptr<httplib::Client> http_peer_client::acquireClient(const Common::endpoint& peer)
{
    {
        const std::lock_guard lock(m_lock);
        auto& idle = m_idle[peer];
        if (!idle.empty()) {
            auto client = std::move(idle.back());
            idle.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(peer.host, peer.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(m_timeout);
    client->set_write_timeout(m_timeout);
    return client;
}

void http_peer_client::returnClient(const Common::endpoint& peer, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_lock);
    auto& idle = m_idle[peer];
    if (idle.size() < maxIdlePerPeer)
        idle.push_back(std::move(client));
}

std::optional<std::string> http_peer_client::call(
    const Common::endpoint& peer, const call_options& options, peer_failure& failure)
{
    auto client = acquireClient(peer);
    client->set_read_timeout(m_timeout + options.wait);
    const auto response = client->Post(options.path, options.body, "application/json");
    if (!response) {
        const bool unsent = response.error() == httplib::Error::Connection;
        failure = unsent ? peer_failure::NotReached : peer_failure::NoAnswer;
        return std::nullopt;
    }
    failure = peer_failure::NoAnswer;
    if (response->status != httpOk)
        return std::nullopt;
    returnClient(peer, std::move(client));
    return response->body;
}

template <typename Reply>
std::optional<Reply> http_peer_client::ask(
    const Common::endpoint& peer, const call_options& options, peer_failure& failure)
{
    const auto body = call(peer, options, failure);
    if (!body)
        return std::nullopt;
    auto reply = decode<Reply>(*body);
    if (reply)
        failure = peer_failure::None;
    return reply;
}

std::optional<vote_reply> http_peer_client::requestPromise(
    const Common::endpoint& peer, const Membership::promise_request& request)
{
    peer_failure failure = peer_failure::None;
    return ask<vote_reply>(peer, { .path = "/peer/promise", .body = encode(request) }, failure);
}

std::optional<vote_reply> http_peer_client::requestVote(
    const Common::endpoint& peer, const Membership::vote_request& request)
{
    peer_failure failure = peer_failure::None;
    return ask<vote_reply>(peer, { .path = "/peer/backing", .body = encode(request) }, failure);
}

std::optional<permit_exchange_reply> http_peer_client::exchangePermits(
    const Common::endpoint& peer, const permit_exchange& exchange)
{
    peer_failure failure = peer_failure::None;
    return ask<permit_exchange_reply>(peer, { .path = "/peer/permits", .body = encode(exchange) }, failure);
}

std::optional<view_reply> http_peer_client::view(const Common::endpoint& peer)
{
    peer_failure failure = peer_failure::None;
    return ask<view_reply>(peer, { .path = "/peer/view", .body = "{}" }, failure);
}

std::optional<cancel_reply> http_peer_client::cancel(
    const Common::endpoint& peer, const Requests::work_identity& identity)
{
    peer_failure failure = peer_failure::None;
    return ask<cancel_reply>(peer, { .path = "/peer/cancel", .body = encode(identity) }, failure);
}

std::optional<Requests::outcome> http_peer_client::forward(
    const Common::endpoint& peer, const forwarded_request& request, peer_failure& failure)
{
    const call_options options { .path = "/peer/forward", .body = encode(request), .wait = maxHolderReplyTime };
    return ask<Requests::outcome>(peer, options, failure);
}

std::optional<Requests::outcome> http_peer_client::await(
    const Common::endpoint& peer, const await_query& query, peer_failure& failure)
{
    const call_options options { .path = "/peer/await", .body = encode(query), .wait = maxHolderReplyTime };
    return ask<Requests::outcome>(peer, options, failure);
}

std::optional<Requests::outcome> http_peer_client::settle(
    const Common::endpoint& peer, const settle_query& query, peer_failure& failure)
{
    const call_options options { .path = "/peer/settle", .body = encode(query), .wait = maxHolderReplyTime };
    return ask<Requests::outcome>(peer, options, failure);
}

}
