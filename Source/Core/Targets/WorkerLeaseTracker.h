#pragma once

#include "Common/Clock.h"
#include "Targets/WorkerClient.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Targets {

/// State that one daemon tracks of one worker: the worker's clock, and for each task whether it was
/// started and when its lease has certainly expired. Does no I/O.
class worker_lease_tracker {
public:
    explicit worker_lease_tracker(Common::millis margin)
        : m_margin(margin)
    {
    }

    /// An answer with the worker's clock arrived.
    void onAnswer(const std::string& workerIncarnation, worker_millis clock, Common::instant answered);
    /// A call got no answer. Leases aren't renewed until another call gets one.
    void onSilent() { m_isUnresponsive = true; }

    const std::string& incarnation() const { return m_incarnation; }
    /// Lower bound of the worker's clock at `when`. Empty before the first answer.
    std::optional<worker_millis> clockAt(Common::instant when) const;

    void onStartSent(const Common::task_id&, Common::instant notAfter, Common::instant leaseUntil);
    void onStartAccepted(const Common::task_id&, Common::instant answered);
    void onStartUnconfirmed(const Common::task_id&);
    /// Takes over a task that a lost holder may have started.
    void adopt(const Common::task_id&, Common::instant now);
    void forget(const Common::task_id& task) { m_tasks.erase(task); }

    /// Tasks whose leases should be renewed with the next poll.
    std::vector<Common::task_id> renewable() const;
    void onRenewalSent(const std::vector<Common::task_id>&, Common::instant leaseUntil);
    std::vector<Common::task_id> adopted() const;
    bool hasTasks() const { return !m_tasks.empty(); }

    /// Tasks that ended without a result.
    struct ended_tasks {
        /// Certainly never started.
        std::vector<Common::task_id> neverStarted;
        /// Ended, or sent to an earlier incarnation of the worker.
        std::vector<Common::task_id> lost;
    };
    /// Evaluates the tasks that a poll, begun at `began`, showed neither as running nor as finished.
    ended_tasks reconcile(const poll_reply&, Common::instant began);
    /// Tasks whose lease has certainly expired while the worker was unresponsive.
    std::vector<Common::task_id> expiredTasks(Common::instant now) const;

private:
    enum class start_phase {
        Sent,
        Accepted,
        Unconfirmed
    };
    struct tracked_task {
        start_phase phase { start_phase::Sent };
        std::string workerIncarnation;
        Common::instant notAfter;
        Common::instant acceptedAt;
        Common::instant leaseUntil;
        bool adopted { false };
    };

    Common::millis m_margin;
    std::string m_incarnation;
    worker_millis m_clock;
    Common::instant m_clockReceivedAt;
    bool m_isUnresponsive { true };
    std::map<Common::task_id, tracked_task> m_tasks;
};

}
