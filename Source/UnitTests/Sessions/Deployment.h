#pragma once

#include "Common/Clock.h"
#include "Sessions/Audit.h"
#include "Sessions/Process.h"
#include "Standins/InstanceListStandin.h"
#include "Standins/LogStandin.h"
#include "Standins/WorkerStandin.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sessions {

struct deployment_options {
    int daemons { 3 };
    int workers { 6 };
    std::int64_t slots { 4 };
    /// Lines added to the settings file of each daemon.
    std::string extraSettings {};
};

/// Result of a call: HTTP status (0 without an answer) and body.
struct call_result {
    int status { 0 };
    std::string body;

    /// Value of a field of the JSON body as text; empty if the field is missing.
    std::string field(const char* name) const;
};

/// Runs stand-ins of the platform in this process and each daemon as a child process. Workers are named
/// "dc1-w0" and so on, spread over three data centres.
class deployment {
public:
    explicit deployment(const deployment_options&);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all daemons and waits until each is ready.
    void startAll();
    void startDaemon(int index);
    /// Publishes a team with its key "key-TEAM", a queue "routing" on pool "shifts", and places all workers.
    void setUpShifts(const std::string& team, int upperLimit);
    void addTeam(const std::string& team, int share, int upperLimit);

    child_process& daemon(int index) { return *m_daemons.at(static_cast<std::size_t>(index)).process; }
    std::uint16_t callersPort(int index) const { return m_daemons.at(static_cast<std::size_t>(index)).callers; }
    bool isReady(int index);
    void waitReady(int index);
    /// Index of the daemon that holds the pool; -1 without one.
    int holderOf(const std::string& pool);

    Standins::log_standin& log() { return m_log; }
    Standins::instance_list_standin& list() { return m_list; }
    Standins::worker_standin& worker(int index) { return *m_workers.at(static_cast<std::size_t>(index)); }
    int workers() const { return static_cast<int>(m_workers.size()); }
    task_audit& audit() { return m_audit; }

    /// Calls the callers' or the operators' listener of a daemon.
    call_result callers(int index, const std::string& path, const std::string& body) const;
    call_result operators(int index, const std::string& path, const std::string& body) const;
    call_result state(int index, const std::string& view) const;
    /// The view as a JSON array; empty when the daemon doesn't answer.
    Common::json stateList(int index, const std::string& view) const;
    /// Runs the operators' client against a daemon and returns what it printed.
    std::string client(int index, const std::vector<std::string>& words, int* exitCode = nullptr) const;
    /// Submits a change as the operations lead or the product manager; without an id, under a random one.
    call_result change(int index, const std::string& verb, const std::string& body, const std::string& id = {},
        bool asProductManager = false) const;

    std::string daemonLog(int index) const;

private:
    struct daemon_entry {
        std::unique_ptr<child_process> process;
        std::string settingsFile;
        std::string outputFile;
        std::uint16_t callers { 0 };
        std::uint16_t peers { 0 };
        std::uint16_t operators { 0 };
    };

    void writeSettings(daemon_entry&, int index) const;
    void publishInstances();

    deployment_options m_options;
    std::string m_directory;
    task_audit m_audit;
    Standins::log_standin m_log;
    Standins::instance_list_standin m_list;
    std::vector<std::unique_ptr<Standins::worker_standin>> m_workers;
    std::vector<daemon_entry> m_daemons;
};

/// Polls a condition; fails the test if it isn't met within `timeout`.
void waitUntil(const std::string& what, const std::function<bool()>& condition,
    Common::millis timeout = std::chrono::seconds(30));

std::string workerName(int index);

}
