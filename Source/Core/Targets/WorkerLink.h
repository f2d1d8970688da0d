#pragma once

#include "Common/Clock.h"
#include "Targets/WorkerClient.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Targets {

/// What one daemon knows of its exchange with one worker: the worker's clock, and for each task
/// whether it was started and when its lease has surely lapsed. Pure decision code.
class worker_link {
public:
    explicit worker_link(Common::millis margin)
        : m_margin(margin)
    {
    }

    /// An answer with the worker's clock arrived.
    void onAnswer(const std::string& life, worker_millis clock, Common::instant answered);
    /// A call got no answer: leases aren't renewed until one does.
    void onSilent() { m_isSilent = true; }

    const std::string& life() const { return m_life; }
    /// The worker's clock at `when`, or a little earlier. Empty before the first answer.
    std::optional<worker_millis> clockAt(Common::instant when) const;

    void onStartSent(const Common::task_id&, Common::instant notAfter, Common::instant leaseUntil);
    void onStartAccepted(const Common::task_id&, Common::instant answered);
    void onStartUnclear(const Common::task_id&);
    /// Takes on a task that a lost holder may have started.
    void adopt(const Common::task_id&, Common::instant now);
    void forget(const Common::task_id& task) { m_tasks.erase(task); }

    /// Tasks whose leases should be renewed with the next poll.
    std::vector<Common::task_id> renewable() const;
    void onRenewalSent(const std::vector<Common::task_id>&, Common::instant leaseUntil);
    std::vector<Common::task_id> adopted() const;
    bool hasTasks() const { return !m_tasks.empty(); }

    /// Tasks that ended without a result.
    struct verdicts {
        /// Certainly never started.
        std::vector<Common::task_id> refused;
        /// Ended, or of an earlier life of the worker.
        std::vector<Common::task_id> lost;
    };
    /// Judges the tasks that a poll, begun at `began`, neither showed as running nor as finished.
    verdicts judge(const poll_reply&, Common::instant began);
    /// Tasks whose lease has surely lapsed while the worker was silent.
    std::vector<Common::task_id> lapsed(Common::instant now) const;

private:
    enum class start_phase {
        Sent,
        Accepted,
        Unclear
    };
    struct task_line {
        start_phase phase { start_phase::Sent };
        std::string life;
        Common::instant notAfter;
        Common::instant acceptedAt;
        Common::instant leaseUntil;
        bool adopted { false };
    };

    Common::millis m_margin;
    std::string m_life;
    worker_millis m_clock;
    Common::instant m_clockAnswered;
    bool m_isSilent { true };
    std::map<Common::task_id, task_line> m_tasks;
};

}
