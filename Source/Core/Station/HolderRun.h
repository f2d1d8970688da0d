#pragma once

#include "Dispatch/Dispatcher.h"
#include "Dispatch/WorkerGateway.h"
#include "Jobs/JobBook.h"
#include "Records/BatchAppender.h"
#include "Station/Counters.h"
#include "Station/FleetRun.h"
#include "Station/HolderSeat.h"

#include <memory>

namespace Station {

struct holder_parts {
    Records::record_store& store;
    Records::timer_service& timers;
    Dispatch::worker_gateway& workers;
    /// Null when instances can't be moved or maintained.
    Capacity::instance_gateway* instances { nullptr };
    const operator_format& operatorFormat;
    Jobs::job_book& book;
    holder_seat& seat;
    const progress_feed& progress;
    counters& figures;
};

struct holder_tenure {
    /// Offset of the claim and one more: higher than that of any holder before.
    Dispatch::fencing_token token;
    /// Number of the claim, counted from 1.
    std::int64_t number { 1 };
    Records::topic_part progressTopic;
    Records::topic_part statusTopic;
    std::string writer;
    Common::millis stopTime { 200 };
};

/// One tenure of the holder: feeds the dispatcher, carries its orders out, and stores its progress.
class holder_run : public Dispatch::dispatch_observer, public std::enable_shared_from_this<holder_run> {
public:
    /// `onLost` is called when another holder has taken over.
    holder_run(const holder_parts&, const holder_tenure&, std::function<void()> onLost);

    /// Shows the others that the seat is held.
    void open();
    /// Begins to give orders; rules, workers and jobs must have been read.
    void start(const std::map<std::int64_t, Capacity::wave_status>& waves);
    /// Gives no more orders. What runs goes on under its leases.
    void stop();
    bool isOver() const { return m_isOver; }
    /// The manager of instances hasn't answered all orders.
    bool hasOpenOrders() const { return m_fleet && m_fleet->hasOpenOrders(); }
    std::int64_t number() const { return m_tenure.number; }
    /// Whether the log has all that this holder, and those before it, may have started.
    bool isFullyNoted() const { return m_isStarted && m_dispatcher.isFullyNoted(m_parts.timers.now()); }

    void setRules(const Rules::fleet_rules&);
    void setEvacuated(const std::set<Common::data_centre_id>&);
    void setWaves(const std::map<std::int64_t, Rules::upkeep_wave>&);
    void workerListed(const Dispatch::worker_entry&, Common::instant seenAt);
    void workerUnlisted(const Common::worker_id&);
    void jobAccepted(const Common::job_id&);
    void jobCancelled(const Common::job_id&);

    void observe(const Dispatch::dispatch_event&) override;

private:
    void beat();
    /// Drops connections to workers that are gone.
    void forgetWorkers();
    void wake();
    void turn();
    void carryOut(const Dispatch::dispatch_orders&);
    void sendStart(const Dispatch::start_order&);
    void sendStop(const Dispatch::stop_order&);
    void sendHold(const Dispatch::hold_order&);
    void sendPace(const Dispatch::pace_order&);
    void keepWave(const Capacity::wave_status&, const std::function<void()>& onStored);
    void flush();
    void store(std::vector<Records::keyed_record>, const Dispatch::commit_batch&);
    void lose(const char* why);

    holder_parts m_parts;
    holder_tenure m_tenure;
    Dispatch::dispatcher m_dispatcher;
    std::shared_ptr<Records::batch_appender> m_appender;
    /// Empty when instances can't be moved or maintained.
    std::shared_ptr<fleet_run> m_fleet;
    std::function<void()> m_onLost;
    int m_commitsOpen { 0 };
    Common::instant m_commitBegan;
    Common::instant m_forgotAt;
    bool m_isTurnDue { false };
    bool m_isStarted { false };
    bool m_isOver { false };
};

}
