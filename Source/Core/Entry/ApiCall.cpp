#include "Entry/ApiCall.h"

#include <algorithm>

namespace Entry {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::size_t identifierLength = 16;

    bool isIdentifier(std::string_view text)
    {
        return text.size() == identifierLength && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
            return std::isxdigit(letter) != 0;
        });
    }

    std::string_view keyOf(std::string_view authorization)
    {
        return authorization.starts_with(bearerPrefix) ? authorization.substr(bearerPrefix.size()) : std::string_view();
    }

    std::optional<call_verb> verbOf(std::string_view method, bool hasIdentifier)
    {
        if (!hasIdentifier)
            return method == "GET" ? std::optional(call_verb::CountWaiting) : std::nullopt;
        if (method == "POST")
            return call_verb::Submit;
        if (method == "GET")
            return call_verb::State;
        if (method == "DELETE")
            return call_verb::Cancel;
        return std::nullopt;
    }

}

std::optional<api_call> readCall(const Rules::fleet_rules* rules, const raw_call& raw, call_refusal& reason)
{
    const auto refuse = [&reason](call_refusal refusal) {
        reason = refusal;
        return std::nullopt;
    };
    if (!rules)
        return refuse(call_refusal::NoRules);
    const auto host = raw.host.substr(0, raw.host.find(':'));
    const auto path = raw.target.substr(0, raw.target.find('?'));
    const auto* queue = rules->matchQueue(host, path);
    if (!queue)
        return refuse(call_refusal::NoSuchQueue);
    const auto key = keyOf(raw.authorization);
    const auto* team = key.empty() ? nullptr : rules->teamOfKey(key);
    if (!team && !queue->isPublic)
        return refuse(call_refusal::UnknownKey);
    const auto identifier = path.substr(queue->pathPrefix.size());
    if (!identifier.empty() && !isIdentifier(identifier))
        return refuse(call_refusal::BadIdentifier);
    const auto verb = verbOf(raw.method, !identifier.empty());
    if (!verb)
        return refuse(call_refusal::WrongMethod);
    return api_call { .verb = *verb,
        .queue = *queue,
        .job = { std::string(identifier) },
        .team = team ? team->id : Common::team_id {} };
}

int statusOf(call_refusal refusal)
{
    switch (refusal) {
    case call_refusal::NoRules:
        return 503;
    case call_refusal::NoSuchQueue:
        return 404;
    case call_refusal::UnknownKey:
        return 401;
    case call_refusal::BadIdentifier:
        return 400;
    case call_refusal::WrongMethod:
        return 405;
    case call_refusal::None:
        break;
    }
    return 500;
}

const char* toText(call_refusal refusal)
{
    switch (refusal) {
    case call_refusal::NoRules:
        return "no_configuration";
    case call_refusal::NoSuchQueue:
        return "no_such_queue";
    case call_refusal::UnknownKey:
        return "unknown_key";
    case call_refusal::BadIdentifier:
        return "bad_identifier";
    case call_refusal::WrongMethod:
        return "wrong_method";
    case call_refusal::None:
        break;
    }
    return "none";
}

}
