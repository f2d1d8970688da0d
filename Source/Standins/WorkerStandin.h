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

/// What a stand-in worker has.
struct worker_size {
    Requests::resources capacity { .cores = { 16 }, .memory = { 65536 } };
    std::int64_t slots { 8 };
};

/// Told of each task that starts and ends on a stand-in worker.
class task_observer {
public:
    virtual ~task_observer() = default;
    virtual void onStarted(const std::string& worker, const std::string& payload) = 0;
    virtual void onEnded(const std::string& worker, const std::string& payload) = 0;
};

/// A worker that runs tasks under leases. The payload tells what a task does: `{"runMs":N,"answer":"TEXT"}`;
/// anything else is answered at once with "ran:PAYLOAD". Faults: `down`, `silent` (ms), `failAll`,
/// `leaving`, `cutAnswers` (count of results whose body is cut), `loseStarts` (count of starts that take
/// effect without an answer), `slowdown` (per cent added to each run time).
class worker_standin {
public:
    worker_standin(const Common::endpoint&, worker_size);
    ~worker_standin();

    /// Set before the start; `name` is what the observer is told.
    void observe(task_observer& observer, std::string name);

    bool start() { return m_server.start(); }
    std::uint16_t port() const { return m_server.port(); }
    fault_switch& faults() { return m_server.faults(); }

    /// One line for each task that was started, for checks after a test.
    struct started_task {
        std::string task;
        std::string payload;
        Common::instant at;
    };
    std::vector<started_task> startedTasks();
    std::int64_t runningNow();
    std::int64_t mostRunning();

private:
    struct task {
        Requests::resources needs;
        std::string payload;
        Common::instant leaseUntil;
        Common::instant endsAt;
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
    void runClock();
    void endDue(Common::instant now);
    std::int64_t clock(Common::instant) const;
    Common::instant fromClock(std::int64_t) const;
    std::int64_t running() const;
    Common::json describeFinished(const Common::json& request);

    standin_server m_server;
    task_observer* m_observer { nullptr };
    std::string m_name;
    worker_size m_size;
    std::string m_life;
    Common::instant m_began;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::int64_t m_changes { 0 };
    std::map<std::string, task> m_tasks;
    std::vector<started_task> m_journal;
    std::int64_t m_mostRunning { 0 };
    bool m_stopping { false };
    std::thread m_clockThread;
};

}
