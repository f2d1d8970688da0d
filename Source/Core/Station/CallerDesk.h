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

/// Bodies of the callers' interface.
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
    /// Told of jobs that this desk has stored, as of those that are read.
    job_listener& jobs;
    Records::topic_follower& operators;
    Records::follower_group& intake;
    Records::spread_appender& appender;
    const caller_format& format;
    counters& figures;
};

/// Serves callers: stores jobs and cancellations, tells states. What the view can't prove is read up first.
class caller_desk {
public:
    explicit caller_desk(const caller_desk_parts&);

    void setRules(const Rules::fleet_rules& rules) { m_rules = rules; }
    bool hasRules() const { return m_rules.has_value(); }
    /// Whether the rules are so fresh that a call may be judged by them without a look at the store.
    bool hasFreshRules() const;
    void handle(const EventLoop::http_request&, const EventLoop::responder&);

private:
    void judge(const EventLoop::http_request&, const EventLoop::responder&, bool isConfirmed);
    void serve(const Entry::caller_call&, const EventLoop::http_request&, const EventLoop::responder&);
    void submit(const Entry::caller_call&, const EventLoop::http_request&, const EventLoop::responder&);
    void cancel(const Entry::caller_call&, const EventLoop::responder&);
    void tellState(const Entry::caller_call&, const EventLoop::responder&);
    void storeCancel(const Entry::caller_call&, const EventLoop::responder&);
    bool owns(const Entry::caller_call&) const;
    void refuse(const EventLoop::responder&, int status, const char* reason, const std::string& job) const;

    caller_desk_parts m_parts;
    std::optional<Rules::fleet_rules> m_rules;
};

}
