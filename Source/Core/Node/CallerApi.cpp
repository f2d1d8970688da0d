#include "Node/CallerApi.h"

#include "Common/JsonFields.h"
#include "Node/PeerCodec.h"
#include "Requests/RequestParser.h"

namespace Node {

namespace {

    using Common::json;

    constexpr int httpOk = 200;
    constexpr int httpAccepted = 202;
    constexpr int httpBadRequest = 400;
    constexpr int httpForbidden = 403;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;
    constexpr int httpUnavailable = 503;
    constexpr int httpGatewayTimeout = 504;

    int statusOf(const Requests::outcome& result)
    {
        using Requests::refusal_reason;
        if (result.kind == Requests::outcome_kind::Done)
            return httpOk;
        if (result.kind == Requests::outcome_kind::Unknown)
            return httpGatewayTimeout;
        switch (result.reason) {
        case refusal_reason::KeyMissing:
        case refusal_reason::KeyUnknown:
        case refusal_reason::KeyWithdrawn:
        case refusal_reason::KeyOfOtherTeam:
            return httpForbidden;
        case refusal_reason::QueueUnknown:
        case refusal_reason::TeamUnknown:
            return httpNotFound;
        case refusal_reason::IdReused:
        case refusal_reason::NeverFits:
            return httpConflict;
        default:
            return httpUnavailable;
        }
    }

    http_answer answerOutcome(const Requests::outcome& result)
    {
        return { .status = statusOf(result), .body = encode(result) };
    }

    http_answer answerFault(const Requests::request_fault& fault)
    {
        const json body { { "outcome", "not_run" }, { "reason", "bad_request" }, { "fault", Requests::toText(fault.kind) },
            { "field", fault.field } };
        return { .status = httpBadRequest, .body = Common::writeJson(body) };
    }

    std::string_view toText(request_state state)
    {
        switch (state) {
        case request_state::NotFound:
            return "not_found";
        case request_state::Queued:
            return "queued";
        case request_state::Running:
            return "running";
        case request_state::Finished:
            break;
        }
        return "finished";
    }

}

void caller_api::addRoutes(http_server& server)
{
    server.onPost("/v1/requests", [this](const http_call& call) { return onSubmit(call); });
    server.onPost("/v1/requests/find", [this](const http_call& call) { return onFind(call); });
    server.onPost("/v1/requests/cancel", [this](const http_call& call) { return onCancel(call); });
    server.onGet("/ready", [this](const http_call&) { return onReady(); });
    server.onGet("/health", [](const http_call&) { return http_answer { .body = "{\"status\":\"up\"}" }; });
}

http_answer caller_api::onSubmit(const http_call& call)
{
    Requests::request_fault fault;
    const auto submitted = Requests::parseSubmission(call.body, fault);
    if (!submitted)
        return answerFault(fault);
    if (!submitted->queued)
        return answerOutcome(m_requests.run(*submitted));
    const queue_receipt receipt = m_requests.enqueue(*submitted);
    if (!receipt.accepted)
        return answerOutcome(receipt.refusal);
    return { .status = httpAccepted, .body = Common::writeJson(json { { "state", "queued" }, { "offset", receipt.offset } }) };
}

http_answer caller_api::onFind(const http_call& call)
{
    Requests::request_fault fault;
    const auto reference = Requests::parseReference(call.body, fault);
    if (!reference)
        return answerFault(fault);
    const request_report report = m_requests.find(*reference);
    json body = Common::parseJson(encode(report.result)).value_or(json::object());
    body["state"] = toText(report.state);
    const bool isFinished = report.state == request_state::Finished;
    const bool isPending = report.state == request_state::Queued || report.state == request_state::Running;
    if (isPending)
        body = json { { "state", toText(report.state) } };
    return { .status = isFinished || isPending ? httpOk : httpNotFound, .body = Common::writeJson(body) };
}

http_answer caller_api::onCancel(const http_call& call)
{
    Requests::request_fault fault;
    const auto reference = Requests::parseReference(call.body, fault);
    if (!reference)
        return answerFault(fault);
    const auto result = m_requests.cancel(*reference);
    const bool isOutcomeKnown = result.kind != Requests::outcome_kind::Unknown;
    return { .status = isOutcomeKnown ? httpOk : httpConflict, .body = encode(result) };
}

http_answer caller_api::onReady()
{
    const auto lock = m_context.lock();
    const bool isReady = !m_isStopping && m_context.mayAct(Common::boot_clock::now());
    return { .status = isReady ? httpOk : httpUnavailable, .body = isReady ? "{\"ready\":true}" : "{\"ready\":false}" };
}

}
