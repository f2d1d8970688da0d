#pragma once

#include "ControlPlane/EntryNodeSettings.h"
#include "ControlPlane/JobApi.h"
#include "ControlPlane/LeadershipManager.h"
#include "ControlPlane/Listeners.h"
#include "EventLoop/EventLoop.h"
#include "EventLoop/HttpListener.h"
#include "EventLoop/TrafficMeter.h"
#include "Records/PartitionReaderGroup.h"

namespace ControlPlane {

struct entry_node_topics {
    Records::topic_partition operators;
    Records::topic_partition workers;
    Records::topic_partition status;
    Records::topic_partition intake;
    Records::topic_partition progress;
    Records::topic_partition handovers;
    Records::topic_partition states;
};

/// Platform services that the node uses.
struct entry_node_parts {
    EventLoop::event_loop& loop;
    EventLoop::traffic_meter& traffic;
    Records::record_store& store;
    Dispatch::worker_gateway& workers;
    /// Null when instances can't be moved or maintained.
    Capacity::instance_gateway* instances { nullptr };
    const job_api_format& jobApiFormat;
    const operator_format& operatorFormat;
    entry_node_topics topics;
    std::string readinessPath;
};

/// Process of one entry instance: serves the job API, reads the store and takes part in leader election.
class entry_node : public operator_listener, public worker_listener, public job_listener {
public:
    entry_node(const entry_node_settings&, const entry_node_parts&);
    ~entry_node() override;
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// False when an address can't be bound.
    bool start(Records::record_sink& operatorFeed, Records::record_sink& workerFeed);
    /// The port at which callers are served, also when their address had port 0.
    std::uint16_t callerPort() const;
    /// Planned shutdown: reports not ready, releases leadership, finishes open requests, then stops the loop.
    void beginShutdown();

    void rulesChanged(const Rules::fleet_rules&) override;
    void evacuationsChanged(const std::set<Common::data_centre_id>&) override;
    void wavesChanged(const std::map<std::int64_t, Rules::maintenance_wave>&) override;
    void workerRegistered(const Dispatch::worker_entry&) override;
    void workerUnregistered(const Common::worker_id&) override;
    void jobAccepted(const Common::job_id&) override;
    void jobCancelled(const Common::job_id&) override;

private:
    struct loop_timers;

    /// Goes on after an unexpected error in a callback.
    void contain(const std::exception&);
    bool isReady() const;
    void answerReadiness(const EventLoop::http_request&, const EventLoop::responder&) const;
    bool startMetrics();
    /// Measures the lag of the event loop once each interval.
    void watchLoad();
    std::string metricsText() const;
    /// Writes a line for each kind of call since the last report, at regular intervals.
    void reportTraffic();
    void finishShutdown();
    /// Answers the requests that are open shortly before the process exits.
    void answerOpenRequests();
    std::shared_ptr<Records::partition_reader> makeReader(
        const Records::topic_partition&, Common::millis readInterval, Records::record_sink&);
    std::shared_ptr<Records::partition_reader> startReader(
        const Records::topic_partition&, Common::millis readInterval, Records::record_sink&);
    /// Starts to read the jobs once it is this instance's turn.
    void startReadingJobs();

    entry_node_settings m_settings;
    entry_node_parts m_parts;
    std::unique_ptr<loop_timers> m_timers;
    std::string m_member;
    Records::read_pacing m_pacing;
    Records::paced_store m_store;
    Jobs::job_registry m_jobRegistry;
    counters m_eventCounters;
    load_monitor m_load;
    std::unique_ptr<view_monitor> m_views;
    std::unique_ptr<leader_health> m_health;
    intake_feed m_intakeFeed;
    progress_feed m_progressFeed;
    handover_feed m_handoverFeed;
    state_feed m_stateFeed;
    std::shared_ptr<Records::partition_reader> m_operators;
    std::shared_ptr<Records::partition_reader> m_workerList;
    std::unique_ptr<Records::partition_reader_group> m_intake;
    std::shared_ptr<Records::partition_reader> m_progress;
    std::shared_ptr<Records::partition_reader> m_handovers;
    std::shared_ptr<Records::partition_reader> m_states;
    std::shared_ptr<Records::failover_appender> m_appender;
    std::unique_ptr<leadership_manager> m_leadership;
    std::unique_ptr<job_api> m_jobApi;
    std::unique_ptr<EventLoop::http_listener> m_callerListener;
    std::unique_ptr<EventLoop::http_listener> m_readinessListener;
    std::unique_ptr<EventLoop::http_listener> m_metricsListener;
    std::set<Common::data_centre_id> m_evacuated;
    bool m_isShuttingDown { false };
    Common::instant m_shutdownBegan;
    Common::instant m_startedAt;
    std::optional<Common::millis> m_leaderSeenAfter;
    bool m_areRequestsEnded { false };
    /// Counts at the last report.
    std::map<std::string, EventLoop::traffic_count> m_reportedTraffic;
};

}
