#pragma once

#include "Capacity/CapacityPlanner.h"
#include "Dispatch/Dispatcher.h"

#include <array>
#include <queue>

namespace Bench {

/// Parts of a leader's work.
enum class leader_part {
    Upkeep,
    Stops,
    Ordering,
    Placement,
    Sending,
    Polls,
    Paces,
    Replies,
    Commits,
    Jobs,
    Sizer,
    Outside
};
constexpr std::size_t leaderParts = static_cast<std::size_t>(leader_part::Outside);

struct leader_load_options {
    int workers { 50 };
    /// Jobs that wait from the start, for each worker.
    int backlogPerWorker { 0 };
};

struct leader_load_result {
    Common::millis simulated { 0 };
    int passes { 0 };
    int starts { 0 };
    std::int64_t workersExamined { 0 };
    /// Checksum of all starts and stops in their order; equal decisions have equal checksums.
    std::size_t checksum { 0 };
    /// Processor time of each part.
    std::array<std::chrono::nanoseconds, leaderParts> time {};

    std::chrono::nanoseconds totalTime() const;
};

/// The leader's decision code with simulated workers, instances and log on a virtual clock.
class leader_load : Dispatch::dispatch_observer {
public:
    explicit leader_load(const leader_load_options&);

    /// Simulates until `duration` has passed on the virtual clock, or the leader has used `most` of processor time.
    leader_load_result run(Common::millis duration, Common::millis most);

private:
    struct simulated_worker {
        std::map<Jobs::task_name, Dispatch::run_number> runs;
        std::vector<Dispatch::listed_end> ends;
        std::int64_t lastEnd { 0 };
        std::optional<Dispatch::poll_order> poll;
        Common::instant pollSentAt;
        Common::instant pollEndsAt;
    };
    struct run_end {
        Common::instant at;
        int worker { 0 };
        Jobs::task_name task;

        friend bool operator>(const run_end& left, const run_end& right) { return left.at > right.at; }
    };

    void observe(const Dispatch::dispatch_event&) override { }
    void onPlanPart(Dispatch::plan_part) override;
    void enter(leader_part);
    void step();
    void addWorkers();
    void addJob();
    void endRuns();
    void answerPolls();
    void answerStarts();
    void planSizes();
    void plan();
    void addToChecksum(const Jobs::task_name&, const Common::worker_id&);
    void commit();
    Dispatch::order_reply reply(Dispatch::order_outcome) const;
    Common::wall_millis wall() const;

    leader_load_options m_options;
    Common::instant m_now { std::chrono::seconds(1000) };
    Rules::fleet_rules m_rules;
    Dispatch::dispatcher m_dispatcher;
    Capacity::capacity_planner m_planner;
    std::vector<simulated_worker> m_workers;
    std::vector<Capacity::instance_entry> m_instances;
    std::vector<Dispatch::start_order> m_unansweredStarts;
    std::vector<Dispatch::stop_order> m_unansweredStops;
    std::priority_queue<run_end, std::vector<run_end>, std::greater<>> m_runEnds;
    std::optional<Dispatch::commit_batch> m_commit;
    Common::instant m_commitEndsAt;
    Common::instant m_sizedAt;
    int m_nextJob { 0 };
    double m_jobsDue { 0 };
    leader_part m_part { leader_part::Outside };
    std::chrono::nanoseconds m_partBeganAt { 0 };
    leader_load_result m_result;
};

}
