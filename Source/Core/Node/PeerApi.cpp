#include "Node/PeerApi.h"

#include "Common/TcpProbe.h"
#include "Node/PeerCodec.h"

namespace Node {

namespace {

    constexpr int httpBadRequest = 400;
    constexpr Common::millis probeTimeout { 300 };

    http_answer badMessage()
    {
        return { .status = httpBadRequest, .body = "{\"error\":\"bad_message\"}" };
    }

}

void peer_api::addRoutes(http_server& server)
{
    server.onPost("/peer/promise", [this](const http_call& call) { return onPromise(call); });
    server.onPost("/peer/backing", [this](const http_call& call) { return onVote(call); });
    server.onPost("/peer/permits", [this](const http_call& call) { return onPermits(call); });
    server.onPost("/peer/forward", [this](const http_call& call) { return onForward(call); });
    server.onPost("/peer/await", [this](const http_call& call) { return onAwait(call); });
    server.onPost("/peer/settle", [this](const http_call& call) { return onSettle(call); });
    server.onPost("/peer/cancel", [this](const http_call& call) { return onCancel(call); });
    server.onPost("/peer/view", [this](const http_call&) { return onView(); });
}

http_answer peer_api::onPromise(const http_call& call)
{
    const auto request = decode<Membership::promise_request>(call.body);
    if (!request)
        return badMessage();
    const auto lock = m_parts.context.lock();
    const auto now = Common::boot_clock::now();
    const bool isLogUnavailable = m_parts.context.leases().isLogUnavailable(now);
    const bool given = m_parts.context.voter().grantPromise(*request, m_parts.context.state(), isLogUnavailable, now);
    return { .body = encode(vote_reply { .process = m_parts.context.self(), .given = given }) };
}

http_answer peer_api::onVote(const http_call& call)
{
    const auto request = decode<Membership::vote_request>(call.body);
    if (!request)
        return badMessage();
    std::optional<Common::endpoint> target;
    bool isExpired = false;
    {
        const auto lock = m_parts.context.lock();
        const auto member = m_parts.context.state().members.find(request->target);
        isExpired = m_parts.context.leases().hasExpired(request->target, Common::boot_clock::now());
        if (member != m_parts.context.state().members.end())
            target = member->second.info.peers;
    }
    if (target && !isExpired)
        isExpired = Common::probeTcp(*target, probeTimeout) == Common::probe_result::Refused;
    const auto lock = m_parts.context.lock();
    const auto now = Common::boot_clock::now();
    const bool given = m_parts.context.voter().grantVote(*request, m_parts.context.state(), isExpired, now);
    return { .body = encode(vote_reply { .process = m_parts.context.self(), .given = given }) };
}

http_answer peer_api::onPermits(const http_call& call)
{
    const auto exchange = decode<permit_exchange>(call.body);
    if (!exchange)
        return badMessage();
    const auto lock = m_parts.context.lock();
    return { .body = encode(m_parts.permits.onReports(*exchange, Common::boot_clock::now())) };
}

http_answer peer_api::onForward(const http_call& call)
{
    const auto forwarded = decode<forwarded_request>(call.body);
    if (!forwarded)
        return badMessage();
    return { .body = encode(m_parts.requests.serveForwarded(*forwarded)) };
}

http_answer peer_api::onAwait(const http_call& call)
{
    const auto query = decode<await_query>(call.body);
    if (!query)
        return badMessage();
    return { .body = encode(m_parts.requests.serveAwait(*query)) };
}

http_answer peer_api::onSettle(const http_call& call)
{
    const auto query = decode<settle_query>(call.body);
    if (!query)
        return badMessage();
    return { .body = encode(m_parts.requests.serveSettle(*query)) };
}

http_answer peer_api::onCancel(const http_call& call)
{
    const auto identity = decode<Requests::work_identity>(call.body);
    if (!identity)
        return badMessage();
    const auto lock = m_parts.context.lock();
    return { .body = encode(cancel_reply { m_parts.pools.cancel(*identity, Common::boot_clock::now()) }) };
}

http_answer peer_api::onView()
{
    const auto lock = m_parts.context.lock();
    return { .body
        = encode(view_reply { .process = m_parts.context.self(), .applied = m_parts.context.state().applied }) };
}

}
