#pragma once

#include "Node/FleetHub.h"
#include "Node/InstanceMoves.h"
#include "Node/Metrics.h"
#include "Node/PeerMessages.h"
#include "Node/PermitOffice.h"
#include "Node/TaskRunner.h"
#include "Node/WaiterTable.h"
#include "Node/WorkerSession.h"
#include "Pool/PoolDesk.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Node {

/// What operators see of one pool at its holder.
struct pool_figures {
    Common::pool_id pool;
    Common::shard_epoch epoch;
    std::size_t waiting { 0 };
    std::size_t tasks { 0 };
    std::size_t usableWorkers { 0 };
};

/// Runs the desks of the pools that this daemon holds, and the sessions with their workers. Called
/// with the hub's lock held, unless said otherwise.
class pool_office final : public state_listener, private task_owner {
public:
    struct parts {
        fleet_hub& hub;
        permit_office& permits;
        task_runner& runner;
        waiter_table& waiters;
        metrics& figures;
    };

    explicit pool_office(parts);
    ~pool_office() override;

    /// Takes a request for a pool held here. Returns an outcome at once, or tells the ticket later.
    std::optional<Requests::outcome> offer(const forwarded_request&, Pool::waiter_ticket, Common::instant now);
    /// Answers what became of a request, at once or to the ticket later. The forwarding is void from now on.
    std::optional<Requests::outcome> settle(const settle_query&, Pool::waiter_ticket, Common::instant now);
    /// Cancels a request. True if it certainly never ran and never will.
    bool cancel(const Requests::work_identity&, Common::instant now);

    /// The platform's list was read anew.
    void onInstanceList(const std::vector<Targets::listed_instance>&, Common::instant now);
    const std::map<Common::instance_id, Targets::listed_instance>& listed() const { return m_listed; }

    /// Starts what can be started on all desks and carries out their orders.
    void pump(Common::instant now);
    /// Regular work: moves between pools, ended sessions, closed desks.
    void tick(Common::instant now);
    /// Sessions that have ended; to be destroyed without the lock.
    std::vector<std::unique_ptr<worker_session>> takeEnded();

    /// Closes the desk of a pool; true once nothing of it is on its way to a worker.
    bool closeDesk(const Common::pool_id&);
    /// Pools whose desks were closed but whose shards are still held here; they must be released.
    std::vector<Common::pool_id> closingPools() const;
    /// Whether no task runs and no request waits here.
    bool isIdle() const;

    std::vector<pool_figures> pools() const;
    /// Instances that their pool's holder, if it is this daemon, can't use although they are open.
    std::vector<Common::instance_id> unusableInstances() const;

    void onState(Common::instant now) override;
    void onNewLife(Common::instant now) override;

private:
    struct held_desk {
        Common::pool_id pool;
        std::unique_ptr<Pool::permit_source> permits;
        std::unique_ptr<Pool::pool_desk> desk;
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

    held_desk* openDesk(const Common::pool_id&);
    const held_desk* deskOfTask(const Common::task_id&) const;
    held_desk* deskOfInstance(const Common::instance_id&);
    std::optional<Common::pool_id> poolOfQueue(const Common::queue_id&) const;

    void openDesks(Common::instant now);
    void openDeskUnlessKnown(const Common::pool_id&, Common::shard_epoch, Common::instant now);
    void dropForeignDesks();
    void takeOverWork(held_desk&, Common::instant now);
    /// Adopts started work whose earlier holder is gone. One that only released the pool sees to its own.
    void adoptOrphans(Common::instant now);
    void adopt(const Requests::work_identity&, const Fleet::work_record&, Common::instant now);
    void offerFromLog(held_desk&, const Requests::work_identity&, const Fleet::work_record&, Common::instant now);
    void onTouched(const Requests::work_identity&, Common::instant now);
    void onIntendedRecord(const Requests::work_identity&, const Fleet::work_record&, Common::instant now);
    void checkIntents(Common::instant now);
    void updateWorkers();
    void updateShares();
    void pumpDesks(Common::instant now);
    void carryOut(Pool::desk_orders);
    void startOrRefuse(const Pool::start_order&);
    void record(const Requests::work_identity&, const Requests::outcome&);
    void tellResolving(const Requests::work_identity&, const Requests::outcome&);
    void endIdleSessions();
    worker_session* sessionOf(const Common::instance_id&);
    std::optional<Requests::refusal_reason> checkKey(const forwarded_request&) const;

    parts m_parts;
    instance_moves m_moves;
    std::vector<held_desk> m_desks;
    std::map<Common::instance_id, Targets::listed_instance> m_listed;
    std::map<Common::instance_id, std::unique_ptr<worker_session>> m_sessions;
    std::vector<std::unique_ptr<worker_session>> m_ended;
    /// Intents on their way to the log, by the id of their command.
    std::map<Common::command_id, Requests::work_identity> m_intents;
    /// Tasks of lost holders, or lost here, whose results may still come.
    std::map<Common::task_id, Requests::work_identity> m_unresolved;
    /// Work that an earlier holder had started when this daemon took its pool over.
    std::set<Requests::work_identity> m_startedBefore;
    std::map<Requests::work_identity, std::vector<Pool::waiter_ticket>> m_resolving;
    /// Forwardings that were declared void, and until when that is remembered.
    std::map<std::string, Common::instant> m_voided;
    bool m_isPumping { false };
};

}
