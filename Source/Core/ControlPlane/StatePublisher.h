#pragma once

#include "ControlPlane/JobFeeds.h"
#include "Records/BatchAppender.h"

#include <functional>
#include <memory>

namespace ControlPlane {

struct state_publisher_options {
    Records::topic_partition topic;
    std::string writer;
    /// The leader's fencing token.
    std::int64_t epoch { 0 };
};

/// Publishes, for one term, the states of jobs once their progress is stored. The pattern of load that it answers: many
/// instances, each of which would otherwise read every record of progress, use up what the store can deliver, so that
/// configurations, registrations and jobs are read late.
class state_publisher {
public:
    /// `onFenced` is called when a later leader has published.
    state_publisher(Records::record_store&, Records::timer_service&, const state_publisher_options&, const state_feed&,
        std::function<void()> onFenced);
    ~state_publisher();
    state_publisher(const state_publisher&) = delete;
    state_publisher& operator=(const state_publisher&) = delete;

    /// Publishes the claim, and the states that earlier leaders stored but didn't publish.
    void begin(const claim_record&, const Jobs::job_registry&);
    /// The job's progress is stored with its state.
    void publish(const Jobs::job_progress&);

private:
    void append(std::vector<Records::keyed_record>);

    const state_feed& m_feed;
    std::shared_ptr<Records::batch_appender> m_appender;
    std::function<void()> m_onFenced;
    /// States that this term has published of jobs that aren't finished.
    std::unordered_map<std::string, Jobs::job_state> m_published;
};

}
