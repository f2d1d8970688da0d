#pragma once

#include "SimulatedWorker.h"
#include "Station/HolderOffice.h"

#include <random>

/// Troubles that a story draws from; a share of each step.
struct world_options {
    std::uint64_t seed { 0 };
    int nodes { 3 };
    int workers { 4 };
    /// Time with troubles, and after it until all jobs must be over.
    Common::millis troubledTime { 25000 };
    Common::millis calmTime { 40000 };
};

/// One instance's part in holding the fleet: the real seat, tenure and dispatcher over simulated calls.
class simulated_node;

/// Instances, workers and the store under troubles drawn from a seed, on one clock. Watches that no task runs twice at
/// once or again after its noted end, and that each job ends.
class holder_world : public run_witness {
public:
    explicit holder_world(const world_options&);
    ~holder_world() override;

    /// Plays the story. Empty when all held, else what was broken first.
    std::string play();
    std::size_t steps() const { return m_steps; }
    int takeovers() const;

    void began(const std::string& worker, const Jobs::task_name&, Dispatch::run_number) override;
    void finished(const std::string& worker, const Jobs::task_name&, Dispatch::end_kind) override;

    bool isCut(int node, const std::string& worker) const { return m_cuts.contains({ node, worker }); }
    bool isStoreCut(int node) const { return m_storeCuts.contains(node); }
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    simulated_worker& worker(const std::string& id) { return *m_workers.at(id); }
    manual_timers& timers() { return m_timers; }
    fake_store& store() { return m_store; }
    const Rules::fleet_rules& rules() const { return m_rules; }
    std::vector<Dispatch::worker_entry> workerEntries() const;

private:
    void disturb();
    void submit();
    void tickWorkers();
    void restart(int node);
    void healLater(std::uint64_t longest, std::function<void()> heal);
    void heal();
    std::string checkEnds();

    world_options m_options;
    std::mt19937_64 m_random;
    manual_timers m_timers;
    fake_store m_store { m_timers };
    Rules::fleet_rules m_rules;
    std::map<std::string, std::unique_ptr<simulated_worker>> m_workers;
    std::map<int, std::shared_ptr<simulated_node>> m_nodes;
    std::set<std::pair<int, std::string>> m_cuts;
    std::set<int> m_storeCuts;
    std::map<Jobs::task_name, std::set<std::string>> m_running;
    std::vector<Common::job_id> m_submitted;
    std::string m_broken;
    std::size_t m_steps { 0 };
    int m_lives { 0 };
};
