#pragma once

#include "Node/CallExecutor.h"
#include "Node/InstanceMoves.h"
#include "Node/Metrics.h"
#include "Node/NodeContext.h"
#include "Node/PeerMessages.h"
#include "Node/PermitManager.h"
#include "Node/WaiterTable.h"
#include "Node/WorkerSession.h"
#include "Pool/PoolScheduler.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Node {

/// Figures of one pool at its holder, shown to operators.
struct pool_stats {
    Common::pool_id pool;
    Common::shard_epoch epoch;
    std::size_t waiting { 0 };
    std::size_t tasks { 0 };
    std::size_t usableWorkers { 0 };
};

/// Runs the schedulers of the pools that this daemon holds, and the sessions with their workers. Called with
/// the lock of the node context held, unless said otherwise.
class pool_manager final : public state_listener, private task_owner {
public:
    struct parts {
        node_context& context;
        permit_manager& permits;
        call_executor& executor;
        waiter_table& waiters;
        metrics& outcomeMetrics;
    };

    explicit pool_manager(parts);
    ~pool_manager() override;

    /// Submits a request to a pool held here. Returns the outcome if it is known at once; otherwise it is
    /// empty and the waiter is completed later.
    std::optional<Requests::outcome> submitRequest(const forwarded_request&, Pool::waiter_id, Common::instant now);
    /// Voids a forwarding and returns the outcome of its request; if empty, the waiter is completed later.
    std::optional<Requests::outcome> settle(const settle_query&, Pool::waiter_id, Common::instant now);
    /// Cancels a request. True if it certainly never ran and never will run.
    bool cancel(const Requests::work_identity&, Common::instant now);

    /// The platform's list of instances was fetched.
    void onInstanceList(const std::vector<Targets::listed_instance>&, Common::instant now);
    const std::map<Common::instance_id, Targets::listed_instance>& listed() const { return m_listed; }

    /// Runs the schedulers of all pools and executes their orders.
    void schedulePools(Common::instant now);
    /// Periodic work: orphaned tasks, moves between pools, idle sessions, released pools.
    void tick(Common::instant now);
    /// Takes the sessions that have ended; to be destroyed without the lock held.
    std::vector<std::unique_ptr<worker_session>> takeEndedSessions();

    /// Closes the scheduler of a pool. True once none of its intents and starts is pending.
    bool closePool(const Common::pool_id&);
    /// Pools whose schedulers are closed but whose shards are still held here; they must be released.
    std::vector<Common::pool_id> closingPools() const;
    /// Whether no task runs and no request waits in any pool.
    bool isIdle() const;

    std::vector<pool_stats> pools() const;
    /// Instances of all pools that aren't on the platform's list, or are marked there as leaving.
    std::vector<Common::instance_id> unusableInstances() const;

    void onState(Common::instant now) override;
    void onNewIncarnation(Common::instant now) override;

private:
    struct held_pool {
        Common::pool_id pool;
        std::unique_ptr<Pool::permit_source> permits;
        std::unique_ptr<Pool::pool_scheduler> scheduler;
        bool closing { false };
    };

    bool mayStart(const Pool::start_order&, Common::instant now) override;
    bool owns(const Common::task_id&) const override;
    void onStart(const Common::task_id&, Pool::start_result, Common::instant now) override;
    void onFinished(const Common::task_id&, Requests::outcome, Common::instant now) override;
    void onLost(const Common::task_id&, Common::instant now) override;
    void onReport(const Common::instance_id&, Requests::resources, Common::slot_count, bool leaving,
        Common::instant now) override;
    void onSilent(const Common::instance_id&, Common::instant now) override;

    held_pool* findOpenPool(const Common::pool_id&);
    const held_pool* heldPoolOfTask(const Common::task_id&) const;
    held_pool* heldPoolOfInstance(const Common::instance_id&);
    std::optional<Common::pool_id> poolOfQueue(const Common::queue_id&) const;

    void openPools(Common::instant now);
    void openPoolIfNew(const Common::pool_id&, Common::shard_epoch, Common::instant now);
    void dropUnheldPools();
    void takeOverWork(held_pool&, Common::instant now);
    /// Adopts started work whose earlier holder has left the membership. A holder that only released the pool
    /// finishes its own tasks.
    void adoptOrphans(Common::instant now);
    void adopt(const Requests::work_identity&, const Fleet::work_record&, Common::instant now);
    void submitFromLog(held_pool&, const Requests::work_identity&, const Fleet::work_record&, Common::instant now);
    void onWorkChanged(const Requests::work_identity&, Common::instant now);
    void onIntentRecorded(const Requests::work_identity&, const Fleet::work_record&, Common::instant now);
    void checkIntents(Common::instant now);
    void updateWorkers();
    void updateShares();
    void scheduleHeldPools(Common::instant now);
    void execute(Pool::scheduler_orders);
    void startOrRefuse(const Pool::start_order&);
    void recordOutcome(const Requests::work_identity&, const Requests::outcome&);
    void completeOutcomeWaiters(const Requests::work_identity&, const Requests::outcome&);
    void endIdleSessions();
    worker_session* sessionOf(const Common::instance_id&);
    std::optional<Requests::refusal_reason> checkKey(const forwarded_request&) const;

    parts m_parts;
    instance_moves m_moves;
    std::vector<held_pool> m_pools;
    std::map<Common::instance_id, Targets::listed_instance> m_listed;
    std::map<Common::instance_id, std::unique_ptr<worker_session>> m_sessions;
    std::vector<std::unique_ptr<worker_session>> m_endedSessions;
    /// Intents submitted to the log and not applied yet, by command id.
    std::map<Common::command_id, Requests::work_identity> m_intents;
    /// Tasks adopted from removed holders or given up here, whose results may still arrive.
    std::map<Common::task_id, Requests::work_identity> m_unresolved;
    /// Work that an earlier holder had started when this daemon took over its pool.
    std::set<Requests::work_identity> m_startedByEarlierHolder;
    std::map<Requests::work_identity, std::vector<Pool::waiter_id>> m_outcomeWaiters;
    /// Voided forwardings by id, with the time until which they are kept.
    std::map<std::string, Common::instant> m_voided;
    bool m_isScheduling { false };
};

}
