#include "ControlPlane/JobApi.h"

#include "ControlPlane/JobFeeds.h"
#include "Jobs/HeldBytes.h"

namespace ControlPlane {

using EventLoop::http_request;
using EventLoop::responder;

namespace {

    /// Rules confirmed within this time are used without reading the store.
    constexpr Common::millis rulesFreshness { 1800 };
    /// How long a call waits for a refresh from the store; shorter when the store hasn't answered lately.
    constexpr Common::millis refreshTimeout { 1200 };
    constexpr Common::millis staleRefreshTimeout { 300 };
    constexpr auto retryAfterSeconds = "1";

    Entry::raw_call rawCall(const http_request& request)
    {
        return { .method = request.method,
            .host = EventLoop::findHeader(request.headers, "Host"),
            .target = request.target,
            .authorization = EventLoop::findHeader(request.headers, "Authorization") };
    }

    Jobs::caller_scope scopeOf(const Entry::api_call& call) { return { .queue = call.queue.id, .team = call.team }; }

}

job_api::job_api(const job_api_parts& parts)
    : m_parts(parts)
    , m_admission(parts.openJobBytes)
{
}

bool job_api::hasFreshRules() const
{
    const auto confirmed = m_parts.operators.confirmedAt();
    return m_rules && confirmed && m_parts.timers.now() - *confirmed < rulesFreshness;
}

void job_api::handle(const http_request& request, const responder& respond)
{
    m_parts.eventCounters.add("calls");
    // An earlier call may be answered by newer rules, so this one mustn't be answered before it by older ones.
    if (!m_openChecks.empty() && hasFreshRules()) {
        m_waitingCalls.push_back({ .after = *m_openChecks.rbegin(), .request = request, .respond = respond });
        return;
    }
    admit(request, respond);
}

void job_api::answerWaitingCalls()
{
    while (!m_waitingCalls.empty() && (m_openChecks.empty() || m_waitingCalls.front().after < *m_openChecks.begin())) {
        const auto next = std::move(m_waitingCalls.front());
        m_waitingCalls.pop_front();
        admit(next.request, next.respond);
    }
}

void job_api::admit(const http_request& request, const responder& respond)
{
    if (hasFreshRules()) {
        resolve(request, respond, false);
        return;
    }
    m_parts.operators.refresh(staleRefreshTimeout, [this, request, respond](bool isConfirmed) {
        if (isConfirmed)
            resolve(request, respond, true);
        else
            refuse(respond, 503, "view_too_old", {});
    });
}

void job_api::resolve(const http_request& request, const responder& respond, bool isConfirmed)
{
    auto reason = Entry::call_refusal::None;
    const auto call = Entry::readCall(m_rules ? &*m_rules : nullptr, rawCall(request), reason);
    if (call) {
        serve(*call, request, respond);
        return;
    }
    const bool mayBeStale
        = reason == Entry::call_refusal::NoSuchQueue || reason == Entry::call_refusal::UnknownKey;
    if (!mayBeStale || isConfirmed) {
        refuse(respond, Entry::statusOf(reason), Entry::toText(reason), request.target);
        return;
    }
    // The queue or key may have been added since the last read, so refuse only after a refresh.
    const auto check = ++m_checks;
    m_openChecks.insert(check);
    m_parts.operators.refresh(refreshTimeout, [this, request, respond, check](bool isNowConfirmed) {
        m_openChecks.erase(check);
        if (isNowConfirmed)
            resolve(request, respond, true);
        else
            refuse(respond, 503, "view_too_old", {});
        answerWaitingCalls();
    });
}

void job_api::serve(const Entry::api_call& call, const http_request& request, const responder& respond)
{
    switch (call.verb) {
    case Entry::call_verb::Submit:
        submit(call, request, respond);
        return;
    case Entry::call_verb::Cancel:
        cancel(call, respond);
        return;
    case Entry::call_verb::State:
        sendState(call, respond);
        return;
    case Entry::call_verb::CountWaiting:
        respond({ .status = 200, .body = m_parts.format.writeWaiting(m_parts.jobRegistry.waitingIn(call.queue.id)) });
        return;
    }
}

const Jobs::job_record* job_api::find(const Entry::api_call& call) const
{
    return m_parts.jobRegistry.find(call.job, scopeOf(call));
}

void job_api::submit(const Entry::api_call& call, const http_request& request, const responder& respond)
{
    if (find(call)) {
        respond({ .status = 200, .body = "{}" });
        return;
    }
    auto spec = m_parts.format.readSpec(request.body);
    if (!spec) {
        refuse(respond, 400, "bad_job", call.job.value);
        return;
    }
    Jobs::job_record job { .id = Jobs::jobIdOf(call.job, scopeOf(call)),
        .queue = call.queue.id,
        .team = call.team,
        .acceptedAt = Common::wallNow(),
        .spec = std::move(*spec) };
    auto record = jobRecord(job);
    if (Records::sizeInAppend(record) > m_parts.storeLimits.recordBytes) {
        refuse(respond, 400, "job_too_large", call.job.value);
        return;
    }
    if (mayHold(job)) {
        store(job, std::move(record), respond);
        return;
    }
    // Another instance may have stored the job, so a refusal could be false; or jobs may have ended.
    m_parts.intake.refresh(staleRefreshTimeout, [this, call, job, record, respond](bool) {
        if (find(call))
            respond({ .status = 200, .body = "{}" });
        else if (mayHold(job))
            store(job, record, respond);
        else
            refuse(respond, 503, "too_much_open_work", call.job.value,
                { { "job_bytes", std::to_string(Jobs::heldBytes(job)) },
                    { "open_bytes", std::to_string(m_parts.jobRegistry.openBytes()) },
                    { "limit_bytes", std::to_string(m_admission.limit()) } });
    });
}

bool job_api::mayHold(const Jobs::job_record& job)
{
    return m_admission.admit(Jobs::heldBytes(job), m_parts.jobRegistry.openBytes(), m_parts.intake.confirmedAt(), m_parts.timers.now());
}

void job_api::store(const Jobs::job_record& job, Records::keyed_record record, const responder& respond)
{
    m_parts.appender.add({ std::move(record) }, [this, job, respond](Records::append_outcome outcome) {
        m_admission.settle(Jobs::heldBytes(job));
        if (outcome == Records::append_outcome::Stored) {
            if (m_parts.jobRegistry.accept(job))
                m_parts.listener.jobAccepted(job.id);
            Common::writeEvent(Common::log_level::Info, Common::log_category::Jobs, "accepted",
                { { "job", job.id.value }, { "queue", job.queue.value }, { "team", job.team.value } });
            respond({ .status = 200, .body = "{}" });
        } else {
            refuseUnstored(respond, outcome, Jobs::callerIdOf(job.id));
        }
    });
}

void job_api::cancel(const Entry::api_call& call, const responder& respond)
{
    if (const auto* job = find(call)) {
        storeCancel(*job, respond);
        return;
    }
    m_parts.intake.refresh(refreshTimeout, [this, call, respond](bool isConfirmed) {
        if (const auto* job = find(call))
            storeCancel(*job, respond);
        else if (isConfirmed)
            cancelUnknown(call, respond);
        else
            refuse(respond, 503, "view_too_old", call.job.value);
    });
}

void job_api::cancelUnknown(const Entry::api_call& call, const responder& respond)
{
    const auto scope = scopeOf(call);
    if (m_parts.jobRegistry.awaitsJob(call.job, scope)) {
        refuse(respond, 410, "no_such_job", call.job.value);
        return;
    }
    m_parts.appender.add({ cancelRecord(call.job, scope) }, [this, call, scope, respond](Records::append_outcome outcome) {
        if (outcome != Records::append_outcome::Stored) {
            refuseUnstored(respond, outcome, call.job);
            return;
        }
        if (const auto job = m_parts.jobRegistry.cancel(call.job, scope))
            m_parts.listener.jobCancelled(*job);
        Common::writeEvent(Common::log_level::Info, Common::log_category::Jobs, "cancelled_before_known",
            { { "job", call.job.value }, { "queue", scope.queue.value }, { "team", scope.team.value } });
        if (const auto* job = find(call))
            respond({ .status = 200, .body = m_parts.format.writeState(*m_parts.jobRegistry.stateOf(job->id)) });
        else
            refuse(respond, 410, "no_such_job", call.job.value);
    });
}

void job_api::storeCancel(const Jobs::job_record& job, const responder& respond)
{
    const auto state = m_parts.jobRegistry.stateOf(job.id);
    if (state && Jobs::isFinal(*state)) {
        respond({ .status = 200, .body = m_parts.format.writeState(*state) });
        return;
    }
    const auto callerId = Jobs::callerIdOf(job.id);
    auto record = cancelRecord(callerId, Jobs::scopeOf(job));
    m_parts.appender.add({ std::move(record) }, [this, id = job.id, callerId, respond](Records::append_outcome outcome) {
        if (outcome == Records::append_outcome::Stored) {
            if (m_parts.jobRegistry.cancel(id))
                m_parts.listener.jobCancelled(id);
            Common::writeEvent(
                Common::log_level::Info, Common::log_category::Jobs, "cancelled", { { "job", id.value } });
            respond({ .status = 200, .body = m_parts.format.writeState(Jobs::job_state::Cancelled) });
        } else {
            refuseUnstored(respond, outcome, callerId);
        }
    });
}

void job_api::sendState(const Entry::api_call& call, const responder& respond)
{
    const auto send = [this, respond](const Jobs::job_record& job) {
        respond({ .status = 200, .body = m_parts.format.writeState(*m_parts.jobRegistry.stateOf(job.id)) });
    };
    if (const auto* job = find(call)) {
        send(*job);
        return;
    }
    m_parts.intake.refresh(refreshTimeout, [this, call, respond, send](bool isConfirmed) {
        if (const auto* job = find(call))
            send(*job);
        else if (isConfirmed)
            refuse(respond, 410, "no_such_job", call.job.value);
        else
            refuse(respond, 503, "view_too_old", call.job.value);
    });
}

void job_api::refuseUnstored(
    const responder& respond, Records::append_outcome outcome, const Common::caller_job_id& job) const
{
    if (outcome == Records::append_outcome::Refused)
        refuse(respond, 503, "not_stored", job.value);
    else
        // The record may be stored; the caller has to retry with the same identifier.
        refuse(respond, 504, "maybe_stored", job.value);
}

void job_api::refuse(const responder& respond, int status, const char* reason, const std::string& job,
    const std::vector<Common::log_field>& inputs) const
{
    m_parts.eventCounters.add(std::string("refused_") + reason);
    std::vector<Common::log_field> fields { { "job", job }, { "reason", reason }, { "status", std::to_string(status) } };
    fields.insert(fields.end(), inputs.begin(), inputs.end());
    Common::writeEvent(Common::log_level::Info, Common::log_category::Requests, "refused", fields);
    EventLoop::http_response response { .status = status, .body = std::string(R"({"error":")") + reason + "\"}" };
    if (status == 429 || status == 503)
        response.headers.push_back({ "Retry-After", retryAfterSeconds });
    respond(std::move(response));
}

}
