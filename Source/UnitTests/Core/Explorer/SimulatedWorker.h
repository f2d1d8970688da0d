#pragma once

#include "../Records/FakeStore.h"
#include "Dispatch/WorkerGateway.h"

#include <functional>
#include <string>

/// Notified of the actual start and end of each run on a worker.
struct run_observer {
    virtual ~run_observer() = default;
    virtual void onRunStarted(const std::string& worker, const Jobs::task_name&, Dispatch::run_number) = 0;
    virtual void onRunEnded(const std::string& worker, const Jobs::task_name&, Dispatch::end_kind) = 0;
    /// The worker is back after an outage, as a new incarnation.
    virtual void onWorkerRestarted(const std::string& worker) = 0;
    /// Whether the task's runs last until they are stopped.
    virtual bool isLongRunning(const Jobs::task_name&) const = 0;
};

/// How a crashed worker behaves until it is back.
struct worker_outage {
    Common::millis duration { 0 };
    /// Orders are rejected at once for want of a connection; otherwise they aren't answered.
    bool refusesConnections { false };
};

/// A worker that implements the protocol correctly: fencing tokens, a lease on its own clock, numbered ends, and
/// run numbers that only increase.
class simulated_worker {
public:
    /// Tasks that a worker runs at once.
    static constexpr int maxSlots = 4;
    /// Requested by each task; a worker's capacity is a multiple of it.
    static constexpr Common::millicores processorPerSlot { 1000 };

    simulated_worker(std::string id, manual_timers&, run_observer&, Common::millis workTime);

    Dispatch::worker_entry entry() const;
    Dispatch::order_reply start(const Dispatch::start_order&, Dispatch::fencing_token);
    Dispatch::order_reply stop(const Dispatch::stop_order&, Dispatch::fencing_token);
    Dispatch::poll_order_reply answerPoll(const Dispatch::poll_order&, Dispatch::fencing_token);
    /// Loses all state and restarts at once under the same id.
    void crash();
    /// Loses all state, and is back under the same id after the outage.
    void crash(const worker_outage&);
    bool isUp() const { return !m_outage; }
    bool refusesConnections() const { return m_outage && m_outage->refusesConnections; }
    /// A worker that is about to crash may send no answers any more.
    void setLosesAnswers(bool losesAnswers) { m_losesAnswers = losesAnswers; }
    bool losesAnswers() const { return m_losesAnswers; }
    bool isRunning(const Jobs::task_name&, Dispatch::run_number) const;
    int slots() const { return m_slots; }
    void setSlots(int slots) { m_slots = slots; }
    /// A worker without an admission check starts whatever it is told to.
    void setAdmissionCheck(bool checksCapacity) { m_checksCapacity = checksCapacity; }
    int runCount() const { return static_cast<int>(m_runs.size()); }
    std::int64_t currentIncarnation() const { return m_incarnation; }
    /// Answers to orders that were meant for another incarnation.
    Dispatch::order_reply refusal(const Dispatch::order_reply&) const
    {
        return reply(Dispatch::order_outcome::OtherIncarnation);
    }
    Dispatch::poll_order_reply refusal(const Dispatch::poll_order_reply&) const
    {
        return { .base = reply(Dispatch::order_outcome::OtherIncarnation) };
    }
    /// Ends the runs that are due by now.
    void tick();

private:
    struct sim_run {
        Dispatch::run_number run;
        Common::instant expectedEnd;
        std::optional<Common::instant> stopsAt;
    };

    /// Answers to orders don't name the incarnation; lists of runs do.
    Dispatch::order_reply reply(Dispatch::order_outcome) const;
    Dispatch::order_reply listReply() const;
    void loseState();
    void beginIncarnation();
    Dispatch::worker_millis clock() const;
    bool isFenced(Dispatch::fencing_token);
    void extendLease(Dispatch::worker_millis deadline);
    void end(const Jobs::task_name&, Dispatch::end_kind);

    std::string m_id;
    manual_timers& m_timers;
    run_observer& m_observer;
    Common::millis m_workTime;
    Common::instant m_startedAt;
    std::int64_t m_incarnation { 1 };
    std::optional<worker_outage> m_outage;
    bool m_losesAnswers { false };
    int m_slots { maxSlots };
    bool m_checksCapacity { true };
    Dispatch::fencing_token m_fence;
    Dispatch::worker_millis m_leaseDeadline;
    std::map<Jobs::task_name, sim_run> m_runs;
    std::map<Jobs::task_name, Dispatch::run_number> m_highestRuns;
    std::vector<Dispatch::listed_end> m_ends;
    std::int64_t m_lastEnd { 0 };
};
