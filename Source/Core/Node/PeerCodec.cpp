#include "Node/PeerCodec.h"

#include "Requests/RequestJson.h"

namespace Membership {

using Common::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(promise_request, asker, version, applied)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vote_request, target, renewed, version)

}

namespace Limits {

using Common::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_need, team, kept, wanted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_report, process, shard, epoch, sequence, needs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(team_grant, team, allowance, target)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_grant, shard, epoch, sequence, grants)

}

namespace Node {

using Common::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vote_reply, process, given)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_exchange, reports)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_exchange_reply, grants)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forwarded_request, request, key, forwardId, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(await_query, forwardId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_reply, certainlyNotRun)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(view_reply, process, applied)

void to_json(json& out, const settle_query& value)
{
    out = { { "identity", value.identity }, { "forwardId", value.forwardId },
        { "remainingMs", value.remaining.count() } };
}

void from_json(const json& in, settle_query& value)
{
    value.identity = in.at("identity").get<Requests::work_identity>();
    value.forwardId = in.at("forwardId").get<std::string>();
    value.remaining = Common::millis(in.at("remainingMs").get<std::int64_t>());
}

std::string encode(const Membership::promise_request& message) { return Common::writeJson(json(message)); }
std::string encode(const Membership::vote_request& message) { return Common::writeJson(json(message)); }
std::string encode(const vote_reply& message) { return Common::writeJson(json(message)); }
std::string encode(const permit_exchange& message) { return Common::writeJson(json(message)); }
std::string encode(const permit_exchange_reply& message) { return Common::writeJson(json(message)); }
std::string encode(const forwarded_request& message) { return Common::writeJson(json(message)); }
std::string encode(const settle_query& message) { return Common::writeJson(json(message)); }
std::string encode(const await_query& message) { return Common::writeJson(json(message)); }
std::string encode(const Requests::work_identity& message) { return Common::writeJson(json(message)); }
std::string encode(const Requests::outcome& message) { return Common::writeJson(json(message)); }
std::string encode(const cancel_reply& message) { return Common::writeJson(json(message)); }
std::string encode(const view_reply& message) { return Common::writeJson(json(message)); }

template <>
std::optional<Membership::promise_request> decode(std::string_view text)
{
    return Common::readJson<Membership::promise_request>(text);
}

template <>
std::optional<Membership::vote_request> decode(std::string_view text)
{
    return Common::readJson<Membership::vote_request>(text);
}

template <>
std::optional<vote_reply> decode(std::string_view text)
{
    return Common::readJson<vote_reply>(text);
}

template <>
std::optional<permit_exchange> decode(std::string_view text)
{
    return Common::readJson<permit_exchange>(text);
}

template <>
std::optional<permit_exchange_reply> decode(std::string_view text)
{
    return Common::readJson<permit_exchange_reply>(text);
}

template <>
std::optional<forwarded_request> decode(std::string_view text)
{
    return Common::readJson<forwarded_request>(text);
}

template <>
std::optional<settle_query> decode(std::string_view text)
{
    return Common::readJson<settle_query>(text);
}

template <>
std::optional<await_query> decode(std::string_view text)
{
    return Common::readJson<await_query>(text);
}

template <>
std::optional<Requests::work_identity> decode(std::string_view text)
{
    return Common::readJson<Requests::work_identity>(text);
}

template <>
std::optional<Requests::outcome> decode(std::string_view text)
{
    return Common::readJson<Requests::outcome>(text);
}

template <>
std::optional<cancel_reply> decode(std::string_view text)
{
    return Common::readJson<cancel_reply>(text);
}

template <>
std::optional<view_reply> decode(std::string_view text)
{
    return Common::readJson<view_reply>(text);
}

}
