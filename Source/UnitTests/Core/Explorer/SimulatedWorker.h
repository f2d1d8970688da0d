#pragma once

#include "../Records/FakeStore.h"
#include "Dispatch/WorkerGateway.h"

#include <functional>
#include <string>

/// What the explorer watches: runs of tasks as they really are.
struct run_witness {
    virtual ~run_witness() = default;
    virtual void began(const std::string& worker, const Jobs::task_name&, Dispatch::run_number) = 0;
    virtual void finished(const std::string& worker, const Jobs::task_name&, Dispatch::end_kind) = 0;
};

/// A worker that keeps to the rules: fence, lease on its own clock, numbered ends, runs that only rise.
class simulated_worker {
public:
    simulated_worker(std::string id, manual_timers&, run_witness&, Common::millis workTime);

    Dispatch::worker_entry entry() const;
    Dispatch::order_reply start(const Dispatch::start_order&, Dispatch::fencing_token);
    Dispatch::order_reply stop(const Dispatch::stop_order&, Dispatch::fencing_token);
    Dispatch::hold_reply hold(const Dispatch::hold_order&, Dispatch::fencing_token);
    /// Everything on it is gone; it starts again under the same id.
    void crash();
    std::int64_t life() const { return m_lives; }
    /// Answers to orders that were meant for another life.
    Dispatch::order_reply refusal(const Dispatch::order_reply&) const { return reply(Dispatch::order_outcome::OtherLife); }
    Dispatch::hold_reply refusal(const Dispatch::hold_reply&) const
    {
        return { .base = reply(Dispatch::order_outcome::OtherLife) };
    }
    /// Ends what is due by now.
    void tick();

private:
    struct sim_run {
        Dispatch::run_number run;
        Common::instant endsAt;
        std::optional<Common::instant> stopsAt;
    };

    Dispatch::order_reply reply(Dispatch::order_outcome) const;
    Dispatch::worker_millis clock() const;
    bool isFenced(Dispatch::fencing_token);
    void extend(Dispatch::worker_millis deadline);
    void end(const Jobs::task_name&, Dispatch::end_kind);

    std::string m_id;
    manual_timers& m_timers;
    run_witness& m_witness;
    Common::millis m_workTime;
    Common::instant m_born;
    std::int64_t m_lives { 1 };
    Dispatch::fencing_token m_fence;
    Dispatch::worker_millis m_deadline;
    std::map<Jobs::task_name, sim_run> m_runs;
    std::map<Jobs::task_name, Dispatch::run_number> m_highest;
    std::vector<Dispatch::listed_end> m_ends;
    std::int64_t m_lastEnd { 0 };
};
