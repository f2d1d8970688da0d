#pragma once

#include "Common/Logging.h"
#include "ControlPlane/Counters.h"
#include "ControlPlane/JobFeeds.h"
#include "ControlPlane/WorkAdmission.h"
#include "Entry/ApiCall.h"
#include "EventLoop/HttpMessages.h"
#include "Jobs/JobRegistry.h"
#include "Records/FailoverAppender.h"
#include "Records/PartitionReaderGroup.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <set>

namespace ControlPlane {

/// Decodes and encodes the bodies of the job API.
class job_api_format {
public:
    virtual ~job_api_format() = default;
    virtual std::optional<Jobs::job_spec> readSpec(std::string_view body) const = 0;
    virtual std::string writeState(Jobs::job_state) const = 0;
    virtual std::string writeWaiting(int count) const = 0;
};

struct job_api_parts {
    Records::timer_service& timers;
    Jobs::job_registry& jobRegistry;
    /// Notified of jobs and cancellations that this node has stored, without waiting until they are read back.
    job_listener& listener;
    Records::partition_reader& operators;
    Records::partition_reader_group& intake;
    Records::failover_appender& appender;
    const job_api_format& format;
    Records::store_limits storeLimits;
    counters& eventCounters;
    /// Memory for open jobs, by Jobs::heldBytes.
    std::size_t openJobBytes { work_limits().openJobBytes };
};

/// Job API for callers: stores jobs and cancellations, reports states and queue lengths. Reads the store first when the
/// local view may be stale.
class job_api {
public:
    explicit job_api(const job_api_parts&);

    void setRules(const Rules::fleet_rules& rules) { m_rules = rules; }
    bool hasRules() const { return m_rules.has_value(); }
    /// Whether the rules were confirmed recently enough to serve calls without reading the store.
    bool hasFreshRules() const;
    void handle(const EventLoop::http_request&, const EventLoop::responder&);

private:
    /// A call that waits until the checks that were open at its arrival are closed.
    struct waiting_call {
        std::uint64_t after { 0 };
        EventLoop::http_request request;
        EventLoop::responder respond;
    };

    void admit(const EventLoop::http_request&, const EventLoop::responder&);
    void answerWaitingCalls();
    void resolve(const EventLoop::http_request&, const EventLoop::responder&, bool isConfirmed);
    void serve(const Entry::api_call&, const EventLoop::http_request&, const EventLoop::responder&);
    void submit(const Entry::api_call&, const EventLoop::http_request&, const EventLoop::responder&);
    /// Whether all instances can hold the job beside those that are open; it counts from now on if so.
    bool mayHold(const Jobs::job_record&);
    void store(const Jobs::job_record&, Records::keyed_record, const EventLoop::responder&);
    void cancel(const Entry::api_call&, const EventLoop::responder&);
    /// The job may be stored yet by an append without an answer, so its cancellation is stored too.
    void cancelUnknown(const Entry::api_call&, const EventLoop::responder&);
    void sendState(const Entry::api_call&, const EventLoop::responder&);
    void storeCancel(const Jobs::job_record&, const EventLoop::responder&);
    /// The job that the call names; null when it isn't known.
    const Jobs::job_record* find(const Entry::api_call&) const;
    /// Answers a call whose record may be missing from the store.
    void refuseUnstored(const EventLoop::responder&, Records::append_outcome, const Common::caller_job_id&) const;
    /// `inputs` are what decided the refusal, for the log.
    void refuse(const EventLoop::responder&, int status, const char* reason, const std::string& job,
        const std::vector<Common::log_field>& inputs = {}) const;

    job_api_parts m_parts;
    work_admission m_admission;
    std::optional<Rules::fleet_rules> m_rules;
    /// Checks for newer rules, by number: a call named a queue or key that the present rules don't have.
    std::uint64_t m_checks { 0 };
    std::set<std::uint64_t> m_openChecks;
    /// In order of arrival.
    std::deque<waiting_call> m_waitingCalls;
};

}
