#pragma once

#include "Standin.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Standin {

enum class verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2
};

/// A small deployment: the platform, workers of one service in racks, and instances of the daemon.
class deployment {
public:
    /// `services` names the service of each worker.
    deployment(const arguments& given, int instances, const std::vector<std::string>& services);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts everything and waits until all instances are ready. False if that fails.
    bool start();
    void say(const std::string& what) const { note(m_record, "case", what); }

    /// Number of the instance that leads by its own metrics, if exactly one does.
    std::optional<int> leader() const { return otherLeader(-1); }
    /// The same of the instances but one.
    std::optional<int> otherLeader(int instance) const;
    /// Lets the store answer an instance, or not.
    void setStoreCut(int instance, bool isCut) const;
    /// Lets a worker answer orders with these fencing tokens only: other instances don't reach it.
    void setReachableFor(int worker, std::int64_t leastToken, std::int64_t mostToken) const;
    /// Highest fencing token that the worker has seen.
    std::int64_t tokenAt(int worker) const;
    /// The worker's next start has no answer; it is kept, to be carried out later.
    void setHoldsStart(int worker, bool holds) const;
    /// The start that is kept, empty without one.
    std::string heldStart(int worker) const;
    /// Lets the worker carry out a start now.
    void deliverStart(int worker, const std::string& order) const;
    void crashWorker(int worker);
    void startWorker(int worker);

    /// Status of the answer, 0 without one.
    int submit(const std::string& id, const json& job, int instance = 0, const std::string& queue = "/kit/",
        const std::string& key = "key-1") const;
    int cancel(const std::string& id, int instance = 0) const;
    /// State of a job, or the status of another answer.
    std::string state(const std::string& id, int instance = 0, const std::string& key = "key-1") const;
    /// Lines of the record that contain all of the words.
    std::vector<std::string> lines(const std::vector<std::string>& words) const;
    int workers() const { return static_cast<int>(m_workers.size()); }
    std::string workerId(int worker) const { return "i-" + std::to_string(worker); }

private:
    struct process {
        pid_t id { 0 };
        int port { 0 };
        std::string service;
    };

    struct instance {
        pid_t id { 0 };
        int front { 0 };
        int ready { 0 };
        int control { 0 };
        int metrics { 0 };
        int store { 0 };
    };

    pid_t spawn(const std::vector<std::string>& words, const std::string& output, const std::string& settings = {}) const;
    void startInstance(int number);
    void put(const std::string& key, const json& value) const;
    httplib::Client front(int instance, const std::string& key) const;

    arguments m_given;
    std::string m_record;
    std::string m_folder;
    int m_manager { 0 };
    pid_t m_platform { 0 };
    std::vector<process> m_workers;
    std::vector<instance> m_instances;
};

void pause(int millis);
/// Calls `check` until it is true or the time is over.
bool await(int millis, const std::function<bool()>& check);

verdict runTwoPartitions(deployment&, bool hasTrouble);
verdict runWorkerCrashes(deployment&, bool hasTrouble);
verdict runGangCheckpoint(deployment&, bool hasTrouble);
verdict runLateStart(deployment&, bool hasTrouble);
verdict runSameId(deployment&, bool hasTrouble);

}
