#pragma once

#include "Node/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

/// JSON encoding of the messages between daemons.
namespace Node {

std::string encode(const Membership::promise_request&);
std::string encode(const Membership::vote_request&);
std::string encode(const vote_reply&);
std::string encode(const permit_exchange&);
std::string encode(const permit_exchange_reply&);
std::string encode(const forwarded_request&);
std::string encode(const settle_query&);
std::string encode(const await_query&);
std::string encode(const Requests::work_identity&);
std::string encode(const Requests::outcome&);
std::string encode(const cancel_reply&);
std::string encode(const view_reply&);

/// Decodes a message. Empty when the text is malformed.
template <typename Message>
std::optional<Message> decode(std::string_view text);

template <>
std::optional<Membership::promise_request> decode(std::string_view);
template <>
std::optional<Membership::vote_request> decode(std::string_view);
template <>
std::optional<vote_reply> decode(std::string_view);
template <>
std::optional<permit_exchange> decode(std::string_view);
template <>
std::optional<permit_exchange_reply> decode(std::string_view);
template <>
std::optional<forwarded_request> decode(std::string_view);
template <>
std::optional<settle_query> decode(std::string_view);
template <>
std::optional<await_query> decode(std::string_view);
template <>
std::optional<Requests::work_identity> decode(std::string_view);
template <>
std::optional<Requests::outcome> decode(std::string_view);
template <>
std::optional<cancel_reply> decode(std::string_view);
template <>
std::optional<view_reply> decode(std::string_view);

}
