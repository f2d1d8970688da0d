#pragma once

#include "ControlPlane/LeadershipManager.h"
#include "CrashRecord.h"
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
    /// Average number of steps between two faults; 0 for no faults.
    int stepsPerFault { 12 };
    /// Share of the jobs with one task that crashes the workers that start it.
    Common::percent crashingJobs { 0 };
    /// Share of the jobs whose tasks last.
    Common::percent longRunningJobs { 0 };
    /// In place of single faults, partitions that follow each other: the leader and some workers are apart from all others.
    /// Some workers crash meanwhile. The leader is told which workers there are.
    bool hasPartitions { false };
    /// The workers' capacity shrinks and grows, and they have no admission check.
    bool doesCapacityVary { false };
    /// A start may use no more than any report of capacity in this time before it was sent, and the newest one, allow.
    Common::millis capacityWindow { 0 };
};

/// A node as the sender of an order.
struct order_sender {
    int node { 0 };
    Common::instant sentAt;
    bool wasInTouch { false };
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
    const crash_record& crashes() const { return m_crashes; }
    /// Starts that were checked against the capacity of their worker.
    int checkedStarts() const { return m_checkedStarts; }

    void onRunStarted(const std::string& worker, const Jobs::task_name&, Dispatch::run_number) override;
    void onRunEnded(const std::string& worker, const Jobs::task_name&, Dispatch::end_kind) override;
    void onWorkerRestarted(const std::string& worker) override;
    bool isLongRunning(const Jobs::task_name& task) const override { return m_longRunningJobs.contains(task.job); }

    bool isDisconnected(int node, const std::string& worker) const { return m_disconnected.contains({ node, worker }); }
    bool isStoreUnreachable(int node) const { return m_storeUnreachable.contains(node); }
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    simulated_worker& worker(const std::string& id) { return *m_workers.at(id); }
    manual_timers& timers() { return m_timers; }
    fake_store& store() { return m_store; }
    const Rules::fleet_rules& rules() const { return m_rules; }
    /// Instances and the workers on them; empty when nobody tells the leader.
    std::optional<std::vector<Capacity::instance_entry>> instances() const;
    /// Workers that are registered, as the store has them.
    std::vector<Dispatch::worker_entry> workerEntries() const;
    order_sender senderOf(int node) const { return { node, m_timers.now(), isInTouch(node) }; }
    /// Sender of the order that is executed next.
    void setSender(const order_sender& sender) { m_sender = sender; }

private:
    struct capacity_report {
        Common::instant at;
        int slots { 0 };
    };

    void advanceOneStep();
    void injectFault();
    /// Ends the last partition and begins the next one when that is due.
    void advancePartitions();
    void healPartition();
    void submit();
    std::vector<Jobs::step_spec> drawSteps(bool isLongRunning);
    bool drawShare(Common::percent share) { return share.value > 0 && draw(100) < static_cast<std::uint64_t>(share.value); }
    void report(const std::string& violation);
    void publish(const std::string& worker);
    void noteDisruption(int node, Common::millis duration);
    /// Whether nothing has disrupted the node for `contactTime`.
    bool isInTouch(int node) const;
    void drawCrash(const std::string& worker, const Jobs::task_name&, Dispatch::run_number);
    void crashUnder(const std::string& worker, const Jobs::task_name&);
    void noteLostRuns(const std::string& worker);
    void expireRegistrationLater(const std::string& worker);
    void varyCapacity();
    void setSlots(const std::string& worker, int slots);
    void checkCapacity(const std::string& worker, const std::string& text);
    void tickWorkers();
    void restart(int node);
    /// Returns how long the fault lasts.
    Common::millis clearFaultLater(std::uint64_t maxExtraMillis, std::function<void()> clearFault);
    void clearFaults();
    std::string checkJobs();
    std::string checkJob(const Common::job_id&, Jobs::job_state) const;
    /// Each task that lasts has to run, or has to have ended only recently.
    std::string checkAtWork(const Common::job_id&) const;
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
    std::map<std::string, Dispatch::worker_entry> m_registrations;
    std::map<std::string, std::vector<capacity_report>> m_capacityReports;
    std::map<int, Common::instant> m_disruptedUntil;
    Common::instant m_nextPartitionAt;
    order_sender m_sender;
    /// Number of tasks of each job whose tasks last.
    std::map<Common::job_id, int> m_longRunningJobs;
    std::map<Jobs::task_name, Common::instant> m_lastEnds;
    crash_record m_crashes;
    int m_checkedStarts { 0 };
    std::string m_violation;
    std::size_t m_steps { 0 };
    int m_incarnations { 0 };
};
