#pragma once

#include "ControlPlane/LeaderTerm.h"
#include "ControlPlane/LeadershipHandover.h"
#include "ControlPlane/Listeners.h"
#include "Records/PartitionReaderGroup.h"

namespace ControlPlane {

struct leadership_parts {
    Records::record_store& store;
    Records::timer_service& timers;
    Dispatch::worker_gateway& workers;
    /// Null when instances can't be moved or maintained.
    Capacity::instance_gateway* instances { nullptr };
    const operator_format& operatorFormat;
    Jobs::job_registry& jobRegistry;
    const progress_feed& progressFeed;
    const handover_feed& handoverFeed;
    const state_feed& stateFeed;
    Records::partition_reader& progress;
    Records::partition_reader& workerList;
    Records::partition_reader_group& intake;
    counters& eventCounters;
    const leader_health& health;
    /// Null for the usual times.
    Records::read_pacing* pacing { nullptr };
};

struct leadership_options {
    /// Unique to each start of the process.
    std::string member;
    instance_capacity capacity;
    Records::topic_partition progressTopic;
    Records::topic_partition handoverTopic;
    Records::topic_partition stateTopic;
    Records::topic_partition statusTopic;
    Dispatch::worker_bounds workerBounds;
    Records::store_limits storeLimits;
    int maxPlacedTasks { work_limits().placedTasks };
};

/// Takes part in leader election and runs the terms that it wins.
class leadership_manager {
public:
    leadership_manager(const leadership_parts&, const leadership_options&);
    ~leadership_manager();
    leadership_manager(const leadership_manager&) = delete;
    leadership_manager& operator=(const leadership_manager&) = delete;

    void start();
    /// Load of this instance as leader; null while it doesn't lead.
    /// A leader has stored something since this instance started.
    bool hasSeenLeader() const { return m_election->hasSeenLeader(); }
    const leader_load* load() const { return m_term ? &m_term->load() : nullptr; }
    /// Releases leadership and makes no further claims.
    void stepDown();
    /// Ends the term, if any, without a release: what it had planned can't be relied on. Others claim first.
    void discardTerm();
    bool isConfirmedLeader() const { return m_election->status().isConfirmed(m_parts.timers.now()); }
    void setRules(const Rules::fleet_rules&);
    void setEvacuated(const std::set<Common::data_centre_id>&);
    void setWaves(const std::map<std::int64_t, Rules::maintenance_wave>&);
    void workerRegistered(const Dispatch::worker_entry&);
    void workerUnregistered(const Common::worker_id&);
    void jobAccepted(const Common::job_id&);
    void jobCancelled(const Common::job_id&);
    /// Shortest time between intake reads of an instance that isn't the leader. Its view may lag, since a call about
    /// an unknown job refreshes it.
    static constexpr Common::millis standbyIntakeInterval { 900 };

private:
    static constexpr Common::millis minClaimBackoff { 2000 };

    struct registered_worker {
        Dispatch::worker_entry entry;
        Common::instant seenAt;
    };

    term_obstacle findObstacle() const;
    void onElected(const won_election&);
    void readJobs(const std::shared_ptr<leader_term>&, bool areWorkersRead);
    void startDispatching(leader_term&);
    /// Ends a term that couldn't be started, and makes no claim for some time, so that others can lead.
    void abandonTerm();
    /// Another leader has taken over: the log belongs to it, so nothing can be said of this term any more.
    void loseTerm();
    /// Ends the term, if any, and releases leadership if this leader knows all placements.
    void endTerm(const std::string& successor = {});
    void release(const std::shared_ptr<leader_term>&, const std::string& successor, Common::instant until);
    /// Gives up the release that is under way, if any.
    void endRelease();
    void copyRelease(std::int64_t number, const std::string& successor);
    void watchHandovers();
    /// Where many instances read, those that don't take over first don't read the workers while a leader is active.
    void chooseWorkerReading();
    /// Stores how much less often instances should read, for those that start later.
    void publishStretch();
    void setLeading(bool);
    void considerRequestingHandover();
    void sendHandoverRequest(std::int64_t claim);
    void considerHandingOver();
    handover_leader handoverState() const;
    void refuseHandover(const handover_request&, handover_answer) const;

    leadership_parts m_parts;
    leadership_options m_options;
    std::shared_ptr<leader_election> m_election;
    /// No claim is made before this.
    Common::instant m_claimsFrom;
    /// Back-off after the next term that can't be started.
    Common::millis m_claimBackoff { minClaimBackoff };
    std::shared_ptr<leader_term> m_term;
    /// A term whose release is under way.
    std::shared_ptr<leader_term> m_releasing;
    Common::instant m_termBegan;
    Common::instant m_leaderActiveAt;
    double m_publishedStretch { 1 };
    handover_candidate m_handoverCandidate;
    /// The newest request to this leader, when it was read, and whether it was answered.
    std::optional<Common::log_offset> m_request;
    Common::instant m_requestSeenAt;
    bool m_isRequestAnswered { false };
    std::optional<Rules::fleet_rules> m_rules;
    std::set<Common::data_centre_id> m_evacuated;
    std::map<std::int64_t, Rules::maintenance_wave> m_waves;
    std::map<Common::worker_id, registered_worker> m_workers;
};

}
