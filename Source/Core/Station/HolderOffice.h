#pragma once

#include "Records/FollowerGroup.h"
#include "Station/Feeds.h"
#include "Station/HolderRun.h"

namespace Station {

struct office_parts {
    Records::record_store& store;
    Records::timer_service& timers;
    Dispatch::worker_gateway& workers;
    /// Null when instances can't be moved or maintained.
    Capacity::instance_gateway* instances { nullptr };
    const operator_format& operatorFormat;
    Jobs::job_book& book;
    const progress_feed& progressFeed;
    Records::topic_follower& progress;
    Records::topic_follower& workerList;
    Records::follower_group& intake;
    counters& figures;
};

struct office_options {
    /// Unique to each start of the process.
    std::string member;
    Records::topic_part progressTopic;
    Records::topic_part statusTopic;
    /// Longest time that a worker takes to stop a task.
    Common::millis stopTime { 200 };
};

/// Takes part in leader election and runs the terms that it wins.
class holder_office {
public:
    holder_office(const office_parts&, const office_options&);
    ~holder_office();
    holder_office(const holder_office&) = delete;
    holder_office& operator=(const holder_office&) = delete;

    void start();
    /// Releases leadership and makes no further claims.
    void retire();
    void setRules(const Rules::fleet_rules&);
    void setEvacuated(const std::set<Common::data_centre_id>&);
    void setWaves(const std::map<std::int64_t, Rules::upkeep_wave>&);
    void workerListed(const Dispatch::worker_entry&);
    void workerUnlisted(const Common::worker_id&);
    void jobAccepted(const Common::job_id&);
    void jobCancelled(const Common::job_id&);
    /// Shortest time between intake reads of an instance that isn't the leader. Its view may lag, since a call about
    /// an unknown job refreshes it.
    static constexpr Common::millis intakeGap { 900 };

private:
    struct registered_worker {
        Dispatch::worker_entry entry;
        Common::instant seenAt;
    };

    void onElected(const won_seat&);
    void readJobs(const std::shared_ptr<holder_run>&, bool areWorkersRead);
    void startDispatching(holder_run&);
    /// Ends the term, if any, and releases it when the log has all placements.
    void endTerm();
    void release(const std::shared_ptr<holder_run>&, Common::instant until);

    office_parts m_parts;
    office_options m_options;
    std::shared_ptr<holder_seat> m_election;
    std::shared_ptr<holder_run> m_term;
    std::optional<Rules::fleet_rules> m_rules;
    std::set<Common::data_centre_id> m_evacuated;
    std::map<std::int64_t, Rules::upkeep_wave> m_waves;
    std::map<Common::worker_id, registered_worker> m_workers;
};

}
