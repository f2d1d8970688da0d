#pragma once

#include "Node/CallExecutor.h"
#include "Node/Metrics.h"
#include "Node/NodeContext.h"
#include "Pool/PoolScheduler.h"
#include "Targets/InstanceList.h"
#include "Targets/WorkerClient.h"
#include "Targets/WorkerLeaseTracker.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace Node {

/// Callbacks of a worker session to the owner of its tasks. Called with the lock of the node context held.
class task_owner {
public:
    virtual ~task_owner() = default;
    /// Whether the task may still be started, checked right before it is sent.
    virtual bool mayStart(const Pool::start_order&, Common::instant now) = 0;
    virtual bool owns(const Common::task_id&) const = 0;
    virtual void onStart(const Common::task_id&, Pool::start_result, Common::instant now) = 0;
    virtual void onFinished(const Common::task_id&, Requests::outcome, Common::instant now) = 0;
    virtual void onLost(const Common::task_id&, Common::instant now) = 0;
    virtual void onReport(const Common::instance_id&, Requests::resources foreign, Common::slot_count foreignSlots,
        bool leaving, Common::instant now)
        = 0;
    virtual void onSilent(const Common::instance_id&, Common::instant now) = 0;
};

/// Session of this daemon with one worker: sends starts in batches, one batch at a time; a thread polls for
/// results and renews the leases of running tasks.
class worker_session {
public:
    struct parts {
        node_context& context;
        task_owner& owner;
        call_executor& executor;
        metrics& outcomeMetrics;
    };

    worker_session(parts, Targets::listed_instance);
    ~worker_session();
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    /// With the lock held.
    void start(Pool::start_order);
    void stopTask(const Common::task_id&);
    void adopt(const Common::task_id&, Common::instant now);
    bool hasTasks() const { return m_leaseTracker.hasTasks() || !m_orders.empty() || m_isSending; }
    const Targets::listed_instance& listed() const { return m_listed; }
    /// Requests the session's thread to end; the object is destroyed later, without the lock held.
    void requestStop() { m_stopping = true; }

private:
    void sendOrders();
    std::vector<Targets::task_start> takeBatch();
    void onStartReply(const std::vector<Targets::task_start>&, const std::optional<Targets::start_reply>&);
    void pollAll();
    Targets::poll_request makePoll(Common::instant now);
    void onPollReply(const Targets::poll_reply&, Common::instant began);
    void onPollFailure();
    void handleResult(const Targets::finished_task&, Common::instant now);
    void reportForeignUse(const Targets::poll_reply&, Common::instant now);

    parts m_parts;
    Targets::listed_instance m_listed;
    std::unique_ptr<Targets::worker_client> m_starter;
    std::unique_ptr<Targets::worker_client> m_poller;
    Targets::worker_lease_tracker m_leaseTracker;
    std::vector<Pool::start_order> m_orders;
    bool m_isSending { false };
    std::vector<Common::task_id> m_acknowledged;
    std::map<Common::task_id, int> m_badResults;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

}
