#pragma once

#include "Store.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sys/types.h>

/// A small deployment on loopback: the store, the list of machines, workers and daemons, the last two as processes of their
/// own. It keeps the record of what was sent, answered and run.
class deployment {
public:
    deployment(const std::string& self, const std::string& daemon, const std::string& recordPath, int workers, int daemons);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Waits until all daemons are ready and every worker was asked for its runs; false if that takes too long.
    bool waitUntilReady();
    bool isReady(int daemon);
    void note(const std::string& line);

    struct http_answer {
        int status { 0 };
        std::string body;
    };
    /// Queues of the service "desk", which has two thirds of the workers.
    static constexpr auto firstQueue = "/desk/";
    static constexpr auto secondQueue = "/other/";
    /// Queue of the service "yard", which has the others.
    static constexpr auto yardQueue = "/yard/";
    /// Calls the job API; `daemon` counts from 0.
    http_answer call(int daemon, const std::string& method, const std::string& id, const std::string& body = {},
        const std::string& prefix = firstQueue);
    /// State of the job by any daemon that answers, "unknown" for 410; empty if none answers.
    std::string stateOf(const std::string& id, const std::string& prefix = firstQueue);

    /// The worker crashes (SIGKILL). The machine is down then, for good if it doesn't start again.
    void crashWorker(const std::string& worker);
    /// It starts again at its address, under its id.
    void startWorker(const std::string& worker);
    void killDaemon(int daemon);
    /// SIGTERM to all daemons; returns when they have ended.
    void stopDaemons();
    void startDaemons();
    store_standin& store() { return m_store; }
    /// SIGTERM to one daemon after the other; each is started again when it has ended, and the next waits until it is ready.
    bool restartInTurn(std::chrono::milliseconds gap);
    void startDaemon(int daemon);

    struct started_run {
        std::string task;
        std::int64_t run { 0 };
        std::string worker;
        std::string checkpoint;
        std::chrono::steady_clock::time_point at;
    };
    struct ended_run {
        std::string task;
        std::int64_t run { 0 };
        std::string worker;
        std::string how;
        std::string saved;
    };
    std::vector<started_run> starts();
    std::vector<ended_run> ends();
    /// Waits for the first start of the task with a higher run number than `after`.
    std::optional<started_run> waitForStart(const std::string& task, std::int64_t after, std::chrono::milliseconds limit);
    /// Runs that have begun, haven't ended, and whose worker hasn't crashed since.
    std::vector<started_run> running(const std::string& job);
    int deskWorkersUp();
    /// How often the platform has killed each daemon because it exceeded its memory.
    std::vector<int> memoryKills();

private:
    struct worker_process {
        std::string id;
        std::string machine;
        std::string service;
        std::string rack;
        int port { 0 };
        pid_t pid { 0 };
        bool isUp { false };
        std::int64_t born { 0 };
        std::chrono::steady_clock::time_point lastBeat;
        bool isRegistered { false };
    };
    struct daemon_process {
        std::string settings;
        int front { 0 };
        int ready { 0 };
        pid_t pid { 0 };
        int memoryKills { 0 };
        /// When the platform starts it again after such a kill.
        std::optional<std::chrono::steady_clock::time_point> restartsAt;
    };
    struct gang_state {
        std::set<std::string> present;
        std::map<std::string, std::string> workers;
        /// Since when all members are present; all processes read the same steady clock.
        std::optional<std::chrono::steady_clock::time_point> completeSince;
        bool isBroken { false };
    };

    void serveDriver();
    void serveMachines();
    void writeSettings();
    void watchRegistrations();
    /// The platform kills a daemon that exceeds its memory, and starts it again.
    void watchMemory();
    std::string describe(const worker_process&) const;
    worker_process& find(const std::string& id);
    pid_t spawn(const std::vector<std::string>& arguments, const std::string& settings, const std::string& output);

    std::string m_self;
    std::string m_daemon;
    std::ofstream m_record;
    std::chrono::steady_clock::time_point m_began { std::chrono::steady_clock::now() };
    std::filesystem::path m_folder;
    std::recursive_mutex m_lock;
    store_standin m_store;
    httplib::Server m_driverServer;
    httplib::Server m_machineServer;
    int m_driverPort { 0 };
    int m_machinePort { 0 };
    std::thread m_driverThread;
    std::thread m_machineThread;
    std::thread m_watchThread;
    std::thread m_memoryThread;
    std::atomic<bool> m_isStopping { false };
    std::vector<worker_process> m_workers;
    std::vector<daemon_process> m_daemons;
    std::vector<started_run> m_starts;
    std::vector<ended_run> m_ends;
    std::map<std::string, gang_state> m_gangs;
    /// Runs that were lost when their worker crashed, as task and run.
    std::set<std::pair<std::string, std::int64_t>> m_lost;
};
