#pragma once

#include "Common/Clock.h"
#include "Fleet/FleetState.h"
#include "Pool/RetryBudget.h"
#include "Pool/ShareQueue.h"
#include "Pool/WorkerBoard.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Pool {

/// Someone who waits for the outcome of a request at this daemon.
using waiter_ticket = Common::quantity<struct waiter_ticket_tag>;

/// Where the desk gets permits to run from.
class permit_source {
public:
    virtual ~permit_source() = default;
    virtual bool tryTake(const Common::team_id&) = 0;
    virtual void giveBack(const Common::team_id&) = 0;
    /// Tells how much work of the team waits in this pool.
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

struct settlement {
    Requests::work_identity identity;
    std::vector<waiter_ticket> tickets;
    Requests::outcome result;
    /// The outcome belongs into the log.
    bool record { false };
};

/// What the desk wants done outside.
struct desk_orders {
    std::vector<intend_order> intents;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<settlement> settlements;
};

enum class start_result {
    Accepted,
    /// The worker certainly didn't start the task and never will.
    Refused,
    /// The task may have been started.
    Unclear
};

enum class task_phase {
    Waiting,
    Intending,
    Starting,
    Running
};

/// Queue, placement and running tasks of one pool, as its holder keeps them. Pure decision code.
class pool_desk {
public:
    struct options {
        Common::pool_id pool;
        Common::shard_epoch epoch;
        /// Prefix of task ids; unique to the holder.
        std::string taskPrefix;
        std::size_t maxWaitingPerTeam { 1000 };
    };
    struct offered_work {
        Requests::work_request request;
        /// Taken from the log's queue: its outcome is recorded there.
        bool fromLog { false };
        /// Who waits here for the outcome; empty for queued work.
        std::optional<waiter_ticket> ticket;
    };
    struct task_view {
        Requests::work_identity identity;
        Common::task_id task;
        Common::instance_id worker;
        task_phase phase { task_phase::Waiting };
    };

    pool_desk(options, permit_source&);

    Common::shard_epoch epoch() const { return m_options.epoch; }
    worker_board& workers() { return m_board; }
    const worker_board& workers() const { return m_board; }
    void setShare(const Common::team_id& team, Common::share_weight share) { m_queue.setShare(team, share); }

    /// Takes a request into the queue. Returns an outcome at once if it is refused.
    std::optional<Requests::outcome> offer(offered_work, Common::instant now);

    /// Starts what can be started, if `mayStart`, and ends what is overdue.
    void pump(bool mayStart, Common::instant now);

    /// The intent of a request was applied, or refused for `reason`.
    void onIntentApplied(const Requests::work_identity&, Common::instant now);
    void onIntentRefused(const Requests::work_identity&, Requests::outcome, Common::instant now);

    void onStart(const Common::task_id&, start_result, Common::instant now);
    /// The worker answered the task. `result` is `Done` with the whole answer, or `Unknown` for a failure.
    void onFinished(const Common::task_id&, Requests::outcome result, Common::instant now);
    /// The task has surely ended, and its result can't be had any more.
    void onLost(const Common::task_id&, Common::instant now);

    /// Cancels a waiting request; asks the worker to stop a running one. True if it certainly never ran.
    bool cancel(const Requests::work_identity&);

    /// Ends waiting: waiting callers are told to go to the next holder, and nothing more starts.
    void close();
    /// Forgets all requests, since this daemon may not act for the pool any more, and returns what is
    /// to be told: "not run" for those that were never sent, "unknown" for the rest.
    std::vector<settlement> abandon();
    /// Whether nothing is on its way to a worker any more.
    bool hasSettledStarts() const;
    /// Whether nothing waits, runs, or is still to be told.
    bool isIdle() const { return m_tasks.empty() && m_orders.settlements.empty(); }

    std::optional<task_view> find(const Requests::work_identity&) const;
    std::optional<task_view> findTask(const Common::task_id&) const;
    std::vector<task_view> tasks() const;
    std::size_t waiting(const Common::team_id& team) const { return m_queue.waiting(team); }
    std::size_t waitingTotal() const { return m_queue.waitingTotal(); }

    /// Orders since the last call.
    desk_orders takeOrders();

private:
    struct task {
        offered_work work;
        std::string payloadDigest;
        Common::instant deadline;
        std::vector<waiter_ticket> tickets;
        task_phase phase { task_phase::Waiting };
        Common::task_id id;
        Common::instance_id worker;
        std::set<Common::instance_id> tried;
        int attempts { 0 };
        int refusals { 0 };
        bool intended { false };
        Common::instant startedAt;
        double charged { 0 };
    };

    start_attempt tryStart(const Requests::work_identity&, Common::instant now);
    void assign(task&, const Common::instance_id& worker, Common::instant now);
    void release(task&, Common::instant now);
    void requeue(task&);
    void settle(const Requests::work_identity&, Requests::outcome);
    void orderStart(task&);
    task* byTask(const Common::task_id&);
    bool isLateBeyondHope(const offered_work&) const;
    double estimateFor(const Common::team_id&) const;
    void endOverdueIntents(Common::instant now);
    void publishWaiting();

    options m_options;
    permit_source& m_permits;
    share_queue m_queue;
    worker_board m_board;
    retry_budget m_retries;
    std::map<Requests::work_identity, task> m_tasks;
    std::map<Common::task_id, Requests::work_identity> m_byTask;
    std::map<Common::team_id, double> m_runMillis;
    std::map<Common::team_id, int> m_running;
    std::int64_t m_nextTask { 0 };
    bool m_closed { false };
    desk_orders m_orders;
};

}
