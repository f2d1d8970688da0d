#include "Requests/RequestJson.h"

namespace Requests {

void to_json(json& out, const resources& value)
{
    out = { { "cores", value.cores }, { "memory", value.memory }, { "accelerators", value.accelerators } };
}

void from_json(const json& in, resources& value)
{
    in.at("cores").get_to(value.cores);
    in.at("memory").get_to(value.memory);
    in.at("accelerators").get_to(value.accelerators);
}

void to_json(json& out, const work_identity& value)
{
    out = { { "queue", value.queue }, { "team", value.team }, { "request", value.request } };
}

void from_json(const json& in, work_identity& value)
{
    in.at("queue").get_to(value.queue);
    in.at("team").get_to(value.team);
    in.at("request").get_to(value.request);
}

void to_json(json& out, const work_request& value)
{
    out = { { "identity", value.identity }, { "needs", value.needs }, { "idempotent", value.idempotent },
        { "remainingMs", value.remaining.count() }, { "payload", value.payload } };
}

void from_json(const json& in, work_request& value)
{
    in.at("identity").get_to(value.identity);
    in.at("needs").get_to(value.needs);
    in.at("idempotent").get_to(value.idempotent);
    value.remaining = Common::millis(in.at("remainingMs").get<std::int64_t>());
    in.at("payload").get_to(value.payload);
}

void to_json(json& out, const outcome& value)
{
    out = { { "outcome", toText(value.kind) }, { "reason", toText(value.reason) } };
    if (value.kind != outcome_kind::Done)
        return;
    out["answer"] = value.answer;
    out["digest"] = value.digest;
}

void from_json(const json& in, outcome& value)
{
    value.kind = parseOutcomeKind(in.at("outcome").get<std::string>()).value_or(outcome_kind::Unknown);
    value.reason = parseRefusalReason(in.at("reason").get<std::string>()).value_or(refusal_reason::None);
    if (value.kind != outcome_kind::Done)
        return;
    in.at("answer").get_to(value.answer);
    in.at("digest").get_to(value.digest);
}

}
