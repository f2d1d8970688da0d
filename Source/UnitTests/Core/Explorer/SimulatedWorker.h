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
};

/// A worker that implements the protocol correctly: fencing tokens, a lease on its own clock, numbered ends, and
/// run numbers that only increase.
class simulated_worker {
public:
    simulated_worker(std::string id, manual_timers&, run_observer&, Common::millis workTime);

    Dispatch::worker_entry entry() const;
    Dispatch::order_reply start(const Dispatch::start_order&, Dispatch::fencing_token);
    Dispatch::order_reply stop(const Dispatch::stop_order&, Dispatch::fencing_token);
    Dispatch::poll_order_reply answerPoll(const Dispatch::poll_order&, Dispatch::fencing_token);
    /// Loses all state and restarts at once under the same id.
    void crash();
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

    Dispatch::order_reply reply(Dispatch::order_outcome) const;
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
    Dispatch::fencing_token m_fence;
    Dispatch::worker_millis m_leaseDeadline;
    std::map<Jobs::task_name, sim_run> m_runs;
    std::map<Jobs::task_name, Dispatch::run_number> m_highestRuns;
    std::vector<Dispatch::listed_end> m_ends;
    std::int64_t m_lastEnd { 0 };
};
