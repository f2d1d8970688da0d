#pragma once

#include "Entry/CallerCall.h"
#include "EventLoop/HttpMessages.h"
#include "Jobs/JobBook.h"
#include "Records/FollowerGroup.h"
#include "Records/SpreadAppender.h"
#include "Station/Counters.h"
#include "Station/JobFeeds.h"

#include <memory>

namespace Station {

/// Decodes and encodes the bodies of the job API.
class caller_format {
public:
    virtual ~caller_format() = default;
    virtual std::optional<Jobs::job_spec> readSpec(std::string_view body) const = 0;
    virtual std::string writeState(Jobs::job_state) const = 0;
    virtual std::string writeWaiting(int count) const = 0;
};

struct caller_desk_parts {
    Records::timer_service& timers;
    Jobs::job_book& book;
    /// Notified of jobs stored here, as of those read from the store.
    job_listener& listener;
    Records::topic_follower& operators;
    Records::follower_group& intake;
    Records::spread_appender& appender;
    const caller_format& format;
    counters& figures;
};

/// Job API for callers: stores jobs and cancellations, reports states and queue lengths. Reads the store first when the
/// local view may be stale.
class caller_desk {
public:
    explicit caller_desk(const caller_desk_parts&);

    void setRules(const Rules::fleet_rules& rules) { m_rules = rules; }
    bool hasRules() const { return m_rules.has_value(); }
    /// Whether the rules were confirmed recently enough to serve calls without reading the store.
    bool hasFreshRules() const;
    void handle(const EventLoop::http_request&, const EventLoop::responder&);

private:
    void resolve(const EventLoop::http_request&, const EventLoop::responder&, bool isConfirmed);
    void serve(const Entry::caller_call&, const EventLoop::http_request&, const EventLoop::responder&);
    void submit(const Entry::caller_call&, const EventLoop::http_request&, const EventLoop::responder&);
    void cancel(const Entry::caller_call&, const EventLoop::responder&);
    void sendState(const Entry::caller_call&, const EventLoop::responder&);
    void storeCancel(const Entry::caller_call&, const EventLoop::responder&);
    bool mayAccess(const Entry::caller_call&) const;
    void refuse(const EventLoop::responder&, int status, const char* reason, const std::string& job) const;

    caller_desk_parts m_parts;
    std::optional<Rules::fleet_rules> m_rules;
};

}
