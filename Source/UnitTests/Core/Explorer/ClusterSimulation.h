#pragma once

#include "ControlPlane/LeadershipManager.h"
#include "SimulatedWorker.h"

#include <optional>
#include <random>

struct simulation_options {
    std::uint64_t seed { 0 };
    int nodes { 3 };
    int workers { 4 };
    /// Of each node, in order; nodes beyond the end have the default.
    std::vector<ControlPlane::instance_capacity> capacities;
    /// Time during which faults are injected.
    Common::millis faultTime { 25000 };
    /// Time after the end of all faults within which all jobs must complete.
    Common::millis recoveryTime { 40000 };
};

class simulated_node;

/// Simulates nodes, workers and the store on one virtual clock, with faults drawn from a seed. Checks that no task runs
/// on two workers at once or again after its end is stored in the log, and that each job completes.
class cluster_simulation : public run_observer {
public:
    explicit cluster_simulation(const simulation_options&);
    ~cluster_simulation() override;

    /// Returns the first violation; empty if there was none.
    std::string run();
    std::size_t steps() const { return m_steps; }
    /// Number of leadership claims in the log.
    int takeovers() const;
    /// Number of planned releases that named a successor.
    int handovers() const;
    /// Node that made the newest claim; empty before the first.
    std::optional<int> lastClaimer() const;
    ControlPlane::instance_capacity capacityOf(int node) const;

    void onRunStarted(const std::string& worker, const Jobs::task_name&, Dispatch::run_number) override;
    void onRunEnded(const std::string& worker, const Jobs::task_name&, Dispatch::end_kind) override;

    bool isDisconnected(int node, const std::string& worker) const { return m_disconnected.contains({ node, worker }); }
    bool isStoreUnreachable(int node) const { return m_storeUnreachable.contains(node); }
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    simulated_worker& worker(const std::string& id) { return *m_workers.at(id); }
    manual_timers& timers() { return m_timers; }
    fake_store& store() { return m_store; }
    const Rules::fleet_rules& rules() const { return m_rules; }
    std::vector<Dispatch::worker_entry> workerEntries() const;

private:
    void injectFault();
    void submit();
    void tickWorkers();
    void restart(int node);
    void clearFaultLater(std::uint64_t maxExtraMillis, std::function<void()> clearFault);
    void clearFaults();
    std::string checkJobsCompleted();
    /// At most one node may be confirmed as the leader.
    void checkLeaders();

    simulation_options m_options;
    std::mt19937_64 m_random;
    manual_timers m_timers;
    fake_store m_store { m_timers };
    Rules::fleet_rules m_rules;
    std::map<std::string, std::unique_ptr<simulated_worker>> m_workers;
    std::map<int, std::shared_ptr<simulated_node>> m_nodes;
    std::set<std::pair<int, std::string>> m_disconnected;
    std::set<int> m_storeUnreachable;
    std::map<Jobs::task_name, std::set<std::string>> m_running;
    std::vector<Common::job_id> m_submitted;
    std::string m_violation;
    std::size_t m_steps { 0 };
    int m_incarnations { 0 };
};
