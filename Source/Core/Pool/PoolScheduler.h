#pragma once

#include "Common/Clock.h"
#include "Fleet/FleetState.h"
#include "Pool/FairQueue.h"
#include "Pool/RetryBudget.h"
#include "Pool/WorkerRegistry.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Pool {

/// Identifies a caller at this daemon that waits for the outcome of a request.
using waiter_id = Common::quantity<struct waiter_tag>;

/// Source of the permits that a pool scheduler needs to start tasks.
class permit_source {
public:
    virtual ~permit_source() = default;
    virtual bool tryAcquire(const Common::team_id&) = 0;
    virtual void release(const Common::team_id&) = 0;
    /// Reports how many requests of the team wait in this pool.
    virtual void setWaiting(const Common::team_id&, Common::slot_count) = 0;
};

struct intend_order {
    Requests::work_identity identity;
    Common::task_id task;
    Common::instance_id worker;
    std::string payloadDigest;
};

struct start_order {
    Requests::work_identity identity;
    Common::task_id task;
    Common::instance_id worker;
    Requests::resources needs;
    std::string payload;
};

struct stop_order {
    Common::task_id task;
    Common::instance_id worker;
};

struct completion {
    Requests::work_identity identity;
    std::vector<waiter_id> waiters;
    Requests::outcome result;
    /// Whether the outcome has to be appended to the log.
    bool recordInLog { false };
};

/// Actions that the owner of the pool scheduler has to carry out.
struct scheduler_orders {
    std::vector<intend_order> intents;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<completion> completions;
};

enum class start_result {
    Accepted,
    /// The worker did not start the task and never will.
    Refused,
    /// The task may have been started.
    OutcomeUnknown
};

enum class task_phase {
    Waiting,
    RecordingIntent,
    Starting,
    Running
};

/// Queues, places and tracks the requests of one pool, at the pool's holder. Does no I/O: time and events come
/// in as arguments, and what has to be done is returned by takeOrders().
class pool_scheduler {
public:
    struct options {
        Common::pool_id pool;
        Common::shard_epoch epoch;
        /// Prefix of task ids, unique to this holder.
        std::string taskPrefix;
        std::size_t maxWaitingPerTeam { 1000 };
    };
    struct submitted_work {
        Requests::work_request request;
        /// Queued in the log; the outcome is recorded there.
        bool fromLog { false };
        /// Caller that waits at this daemon; empty for queued work.
        std::optional<waiter_id> waiter;
    };
    struct task_view {
        Requests::work_identity identity;
        Common::task_id task;
        Common::instance_id worker;
        task_phase phase { task_phase::Waiting };
    };

    pool_scheduler(options, permit_source&);

    Common::shard_epoch epoch() const { return m_options.epoch; }
    worker_registry& workers() { return m_workers; }
    const worker_registry& workers() const { return m_workers; }
    void setShare(const Common::team_id& team, Common::share_weight share) { m_queue.setShare(team, share); }

    /// Adds a request to the queue. A request that is already known only adds its caller. Returns the outcome if the
    /// request is refused, empty if it was accepted.
    std::optional<Requests::outcome> submit(submitted_work, Common::instant now);

    /// Ends requests and intents whose deadline has passed, then starts waiting requests if `mayStart`.
    void schedule(bool mayStart, Common::instant now);

    /// The log entry that records the intent to start a request was applied, or refused with this outcome.
    void onIntentApplied(const Requests::work_identity&, Common::instant now);
    void onIntentRefused(const Requests::work_identity&, Requests::outcome, Common::instant now);

    void onStart(const Common::task_id&, start_result, Common::instant now);
    /// The worker reported the end of the task: `Done` with the complete answer, or `Unknown` for a failure.
    void onFinished(const Common::task_id&, Requests::outcome result, Common::instant now);
    /// The task is known to have ended, and its result can no longer be retrieved.
    void onLost(const Common::task_id&, Common::instant now);

    /// Cancels a waiting request, or orders the worker to stop a running one. True if the request never ran.
    bool cancel(const Requests::work_identity&);

    /// Stops accepting and starting requests. Callers of waiting requests get `HolderMoved`, so that they retry at
    /// the next holder; queued work stays in the log.
    void close();
    /// Drops all requests when this daemon may no longer act for the pool. Returns their outcomes: "not run" for
    /// those never sent to a worker, "unknown" for the rest.
    std::vector<completion> abandon();
    /// Whether no intent and no start is pending.
    bool hasNoPendingStarts() const;
    /// Whether no request waits or runs, and no outcome is left to deliver.
    bool isIdle() const { return m_tasks.empty() && m_orders.completions.empty(); }

    std::optional<task_view> find(const Requests::work_identity&) const;
    std::optional<task_view> findTask(const Common::task_id&) const;
    std::vector<task_view> tasks() const;
    std::size_t waiting(const Common::team_id& team) const { return m_queue.waiting(team); }
    std::size_t waitingTotal() const { return m_queue.waitingTotal(); }

    /// Returns the orders issued since the last call.
    scheduler_orders takeOrders();

private:
    struct task {
        submitted_work work;
        std::string payloadDigest;
        Common::instant deadline;
        std::vector<waiter_id> waiters;
        task_phase phase { task_phase::Waiting };
        Common::task_id id;
        Common::instance_id worker;
        std::set<Common::instance_id> tried;
        int attempts { 0 };
        int refusals { 0 };
        bool intentApplied { false };
        Common::instant startedAt;
        double chargedSlotMillis { 0 };
    };

    start_attempt tryStart(const Requests::work_identity&, Common::instant now);
    void assign(task&, const Common::instance_id& worker, Common::instant now);
    void release(task&, Common::instant now);
    void requeue(task&);
    void complete(const Requests::work_identity&, Requests::outcome);
    void orderStart(task&);
    task* taskById(const Common::task_id&);
    bool isDeadlineUnreachable(const submitted_work&) const;
    double estimatedRunMillis(const Common::team_id&) const;
    void expireIntents(Common::instant now);
    void publishWaiting();

    options m_options;
    permit_source& m_permits;
    fair_queue m_queue;
    worker_registry m_workers;
    retry_budget m_retries;
    std::map<Requests::work_identity, task> m_tasks;
    std::map<Common::task_id, Requests::work_identity> m_byTask;
    std::map<Common::team_id, double> m_runMillis;
    std::map<Common::team_id, int> m_runningTasks;
    std::int64_t m_nextTask { 0 };
    bool m_closed { false };
    scheduler_orders m_orders;
};

}
