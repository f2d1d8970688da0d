#pragma once

#include "Common/JsonFields.h"
#include "Requests/WorkRequest.h"
#include "Standins/StandinServer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Standins {

/// Capacity of a stand-in worker.
struct worker_size {
    Requests::resources capacity { .cores = { 16 }, .memory = { 65536 } };
    std::int64_t slots { 8 };
};

/// Notified when a task starts or ends on a stand-in worker.
class task_observer {
public:
    virtual ~task_observer() = default;
    virtual void onStarted(const std::string& worker, const std::string& payload) = 0;
    virtual void onEnded(const std::string& worker, const std::string& payload) = 0;
};

/// A worker that runs tasks under leases. A payload `{"runMs":N,"answer":"TEXT"}` sets run time and result of the
/// task; with any other payload it ends at once with the result "ran:PAYLOAD". Faults: `down`, `silent` (ms),
/// `failAll`, `leaving`, `cutAnswers` (count of results whose body is truncated), `loseStarts` (count of starts
/// that take effect but whose answer is lost), `slowdown` (per cent added to each run time).
class worker_standin {
public:
    worker_standin(const Common::endpoint&, worker_size);
    ~worker_standin();

    /// To be called before start(). The observer is given `name` as the name of this worker.
    void observe(task_observer& observer, std::string name);

    bool start() { return m_server.start(); }
    std::uint16_t port() const { return m_server.port(); }
    fault_switch& faults() { return m_server.faults(); }

    /// Entry of the journal of started tasks.
    struct started_task {
        std::string task;
        std::string payload;
        Common::instant at;
    };
    std::vector<started_task> startedTasks();
    std::int64_t runningNow();
    std::int64_t maxRunning();

private:
    struct task {
        Requests::resources needs;
        std::string payload;
        Common::instant leaseUntil;
        Common::instant expectedEnd;
        std::string answer;
        bool succeeded { true };
        bool ended { false };
    };

    void onStart(const httplib::Request&, httplib::Response&);
    void onPoll(const httplib::Request&, httplib::Response&);
    void onStop(const httplib::Request&, httplib::Response&);
    void onJournal(httplib::Response&);
    bool tryStart(const Common::json&, Common::instant now);
    void end(task&, bool succeeded);
    void runTimer();
    void endDueTasks(Common::instant now);
    std::int64_t toWorkerClock(Common::instant) const;
    Common::instant fromWorkerClock(std::int64_t) const;
    std::int64_t running() const;
    Common::json describeFinished(const Common::json& request);

    standin_server m_server;
    task_observer* m_observer { nullptr };
    std::string m_name;
    worker_size m_size;
    std::string m_incarnation;
    Common::instant m_startedAt;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::int64_t m_changes { 0 };
    std::map<std::string, task> m_tasks;
    std::vector<started_task> m_journal;
    std::int64_t m_maxRunning { 0 };
    bool m_stopping { false };
    std::thread m_timerThread;
};

}
