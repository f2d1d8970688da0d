#pragma once

#include "EventLoop/EventLoop.h"
#include "EventLoop/HttpListener.h"
#include "Records/FollowerGroup.h"
#include "Station/CallerDesk.h"
#include "Station/Feeds.h"
#include "Station/HolderOffice.h"
#include "Station/StationSettings.h"

namespace Station {

struct entry_node_topics {
    Records::topic_part operators;
    Records::topic_part workers;
    Records::topic_part status;
    Records::topic_part intake;
    Records::topic_part progress;
};

/// Platform services that the node uses.
struct station_parts {
    EventLoop::event_loop& loop;
    Records::record_store& store;
    Dispatch::worker_gateway& workers;
    /// Null when instances can't be moved or maintained.
    Capacity::instance_gateway* instances { nullptr };
    const caller_format& callerFormat;
    const operator_format& operatorFormat;
    entry_node_topics topics;
    std::string readinessPath;
};

/// Process of one entry instance: serves the job API, reads the store and takes part in leader election.
class entry_station : public operator_listener, public worker_listener, public job_listener {
public:
    entry_station(const station_settings&, const station_parts&);
    ~entry_station() override;
    entry_station(const entry_station&) = delete;
    entry_station& operator=(const entry_station&) = delete;

    /// False when an address can't be bound.
    bool start(Records::record_sink& operatorFeed, Records::record_sink& workerFeed);
    /// Planned shutdown: reports not ready, releases leadership, finishes open requests, then stops the loop.
    void retire();

    void rulesChanged(const Rules::fleet_rules&) override;
    void evacuationsChanged(const std::set<Common::data_centre_id>&) override;
    void wavesChanged(const std::map<std::int64_t, Rules::upkeep_wave>&) override;
    void workerListed(const Dispatch::worker_entry&) override;
    void workerUnlisted(const Common::worker_id&) override;
    void jobAccepted(const Common::job_id&) override;
    void jobCancelled(const Common::job_id&) override;

private:
    struct loop_timers;

    bool isReady() const;
    void answerReadiness(const EventLoop::http_request&, const EventLoop::responder&) const;
    bool startMetrics();
    void finishShutdown();
    std::shared_ptr<Records::topic_follower> startReader(
        const Records::topic_part&, Common::millis readInterval, Records::record_sink&);

    station_settings m_settings;
    station_parts m_parts;
    std::unique_ptr<loop_timers> m_timers;
    std::string m_member;
    Jobs::job_book m_book;
    counters m_figures;
    intake_feed m_intakeFeed;
    progress_feed m_progressFeed;
    std::shared_ptr<Records::topic_follower> m_operators;
    std::shared_ptr<Records::topic_follower> m_workerList;
    std::unique_ptr<Records::follower_group> m_intake;
    std::shared_ptr<Records::topic_follower> m_progress;
    std::shared_ptr<Records::spread_appender> m_appender;
    std::unique_ptr<holder_office> m_leadership;
    std::unique_ptr<caller_desk> m_jobApi;
    std::unique_ptr<EventLoop::http_listener> m_callerListener;
    std::unique_ptr<EventLoop::http_listener> m_readinessListener;
    std::unique_ptr<EventLoop::http_listener> m_metricsListener;
    std::set<Common::data_centre_id> m_evacuated;
    bool m_isShuttingDown { false };
    Common::instant m_shutdownBegan;
};

}
