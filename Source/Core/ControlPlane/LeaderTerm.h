#pragma once

#include "ControlPlane/CapacityController.h"
#include "ControlPlane/Counters.h"
#include "ControlPlane/LeaderElection.h"
#include "ControlPlane/LeaderLoad.h"
#include "ControlPlane/ProgressWriter.h"
#include "ControlPlane/StartPermission.h"
#include "ControlPlane/StatePublisher.h"
#include "ControlPlane/WorkAdmission.h"
#include "Dispatch/Dispatcher.h"
#include "Dispatch/StartWindow.h"
#include "Dispatch/WorkerGateway.h"
#include "Jobs/JobRegistry.h"
#include "Records/BatchAppender.h"

#include <memory>

namespace ControlPlane {

struct leader_term_parts {
    Records::record_store& store;
    Records::timer_service& timers;
    Dispatch::worker_gateway& workers;
    /// Null when instances can't be moved or maintained.
    Capacity::instance_gateway* instances { nullptr };
    const operator_format& operatorFormat;
    Jobs::job_registry& jobRegistry;
    leader_election& election;
    const progress_feed& progress;
    const state_feed& states;
    Records::partition_reader& progressReader;
    counters& eventCounters;
    const leader_health& health;
};

struct leader_term_options {
    /// Offset of the claim plus one: higher than the token of any earlier leader.
    Dispatch::fencing_token token;
    /// Number of the claim, counted from 1.
    std::int64_t number { 1 };
    Records::topic_partition progressTopic;
    Records::topic_partition stateTopic;
    Records::topic_partition statusTopic;
    std::string writer;
    Dispatch::worker_bounds workerBounds;
    Records::store_limits storeLimits;
    int maxPlacedTasks { work_limits().placedTasks };
};

/// One term of the leader: passes events to the dispatcher, sends its orders and stores its progress.
class leader_term : public Dispatch::dispatch_observer, public std::enable_shared_from_this<leader_term> {
public:
    /// `onLost` is called when another leader has taken over.
    leader_term(const leader_term_parts&, const leader_term_options&, std::function<void()> onLost);

    /// Starts the heartbeats that keep other instances from claiming leadership.
    void startHeartbeats();
    /// Starts dispatching; rules, workers and jobs must have been read.
    void start(const std::map<std::int64_t, Capacity::wave_status>& waves);
    /// Sends no more orders. Running tasks go on under their leases.
    void stopOrders();
    /// The same, and stores nothing more.
    void stop();
    /// After `stopOrders`: stores all that this leader knows, and with it the release, then stops. The store takes the
    /// release only after everything that this term has sent before, and only while no later term has begun. Without an
    /// answer in `timeout` it may still be stored. `onEnd` is told whether it was, unless `stop` is called before.
    void release(const std::string& successor, Common::millis timeout, std::function<void(bool)> onEnd);
    bool isOver() const { return m_isOver; }
    /// Whether the instance manager has unanswered orders.
    bool hasOpenOrders() const { return m_capacity && m_capacity->hasOpenOrders(); }
    /// While paused, no instance is moved and no maintenance begins.
    void pauseInstanceOrders(bool isPaused) { m_areInstanceOrdersPaused = isPaused; }
    std::int64_t number() const { return m_options.number; }
    /// Whether this leader knows all placements, its own and those of earlier leaders, so that it may release leadership.
    bool knowsAllPlacements() const { return m_isStarted && m_dispatcher.knowsAllPlacements(m_parts.timers.now()); }
    /// Whether the log has them.
    bool areAllPlacementsLogged() const { return m_isStarted && m_dispatcher.areAllPlacementsLogged(m_parts.timers.now()); }

    /// The last measurement of this leader's load.
    const leader_load& load() const { return m_load.last(); }

    void setRules(const Rules::fleet_rules&);
    void setEvacuated(const std::set<Common::data_centre_id>&);
    void setWaves(const std::map<std::int64_t, Rules::maintenance_wave>&);
    void workerRegistered(const Dispatch::worker_entry&, Common::instant seenAt);
    void workerUnregistered(const Common::worker_id&);
    void jobAccepted(const Common::job_id&);
    void jobCancelled(const Common::job_id&);

    void observe(const Dispatch::dispatch_event&) override;

private:
    void addJob(const Common::job_id&);
    void tick();
    void reportLoad();
    /// Tells the load monitor how late a timer fired that was due at `due`.
    void noteLag(Common::instant due);
    /// Closes connections to workers that no longer exist.
    void closeStaleConnections();
    void schedulePlan();
    /// Time until the next planning pass may begin.
    Common::millis restLeft() const;
    void planAfterRest();
    void planAndSend();
    /// Whether starts may be sent now, judged by what this leader has read.
    start_permission judgeStarts() const;
    /// Writes a line when the judgement has changed while starts are waiting.
    void noteStartPermission(start_permission);
    void sendOrders(const Dispatch::dispatch_orders&);
    void sendStart(const Dispatch::start_order&);
    void sendStop(const Dispatch::stop_order&);
    void sendPoll(const Dispatch::poll_order&);
    void sendPace(const Dispatch::pace_order&);
    /// Notes the answer to an order; `wait` is the delay that a poll asked for.
    void noteAnswer(order_kind, Common::instant sentAt, Common::millis wait, const Dispatch::order_reply&);
    void storeWave(const Capacity::wave_status&, const std::function<void()>& onStored);
    void flush();
    std::vector<Records::keyed_record> progressRecords(const Dispatch::commit_batch&);
    /// Appends the records, in as many appends as they need. The handler gets the outcome of the last one, which isn't
    /// stored unless the others are.
    void append(std::vector<Records::keyed_record>, Records::batch_appender::done_handler);
    void store(std::vector<Records::keyed_record>, const Dispatch::commit_batch&);
    void applyStored(const Jobs::job_progress&);
    void loseLeadership(const char* why);

    leader_term_parts m_parts;
    leader_term_options m_options;
    Dispatch::dispatcher m_dispatcher;
    progress_writer m_progressWriter;
    std::shared_ptr<Records::batch_appender> m_appender;
    /// Empty before the first heartbeat.
    std::unique_ptr<state_publisher> m_states;
    /// Empty when instances can't be moved or maintained.
    std::shared_ptr<capacity_controller> m_capacity;
    std::function<void()> m_onLost;
    order_meter m_orders;
    Dispatch::start_window m_window;
    leader_load_meter m_load;
    int m_pendingCommits { 0 };
    Common::instant m_commitBeganAt;
    Common::instant m_connectionsCheckedAt;
    /// No planning pass begins before this.
    Common::instant m_restsUntil;
    /// The judgement that was last logged.
    start_permission m_loggedPermission { start_permission::Granted };
    bool m_areInstanceOrdersPaused { false };
    bool m_isPlanScheduled { false };
    bool m_isStarted { false };
    bool m_isOver { false };
    /// The release was stored or given up, or won't be made.
    bool m_isReleaseOver { false };
};

}
