#include "Worker.h"

#include "Store.h"

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <unistd.h>

using nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t workerThreads = 16;
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t maxHoldMs = 10'000;
constexpr std::int64_t savedEveryMs = 500;
constexpr std::int64_t restoreMs = 100;
constexpr std::int64_t startupMs = 500;
constexpr std::int64_t maxWaitMs = 2000;
constexpr std::int64_t gangWaitMs = 3000;
constexpr auto tick = milliseconds(5);

/// A run of a task. What it does stands in its spec: `ms` (how long it works), `lasts`, `saves`, `gang` (members).
struct task_run {
    std::int64_t run { 0 };
    json spec;
    std::string checkpoint;
    steady::time_point startedAt;
    /// Since when it works; a gang's members work from the moment when all are present.
    std::optional<steady::time_point> worksSince;
};

struct ended_run {
    std::int64_t number { 0 };
    std::string task;
    std::int64_t run { 0 };
    std::string how;
    std::string saved;
};

std::int64_t millisSince(steady::time_point from)
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - from).count();
}

std::string groupOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

/// A worker as PROTOCOL.md describes it. It reports to the driver what it is told and what it runs, and asks it about gangs.
class worker {
public:
    explicit worker(const worker_options& options)
        : m_options(options)
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_startedAt(steady::now())
        , m_driver("127.0.0.1", options.driverPort)
    {
        m_driver.set_keep_alive(true);
        m_driver.set_tcp_nodelay(true);
        prepareServer(m_server, workerThreads);
        m_server.Post("/api/run-start", [this](const auto& request, auto& response) { onStart(request, response); });
        m_server.Post("/api/run-stop", [this](const auto& request, auto& response) { onStop(request, response); });
        m_server.Post("/api/hold", [this](const auto& request, auto& response) { onHold(request, response); });
        m_server.Post("/api/pace", [this](const auto&, auto& response) { answer(response, 200, {}); });
    }

    int run()
    {
        std::thread([this] { work(); }).detach();
        std::thread([this] { beat(); }).detach();
        return m_server.listen("127.0.0.1", m_options.port) ? 0 : 1;
    }

private:
    std::int64_t clock() const { return millisSince(m_startedAt); }

    void answer(httplib::Response& response, int status, json body) const
    {
        body["clockMs"] = clock();
        response.status = status;
        response.set_content(body.dump(), "application/json");
    }

    void tell(const std::string& path, json body)
    {
        body["worker"] = m_options.id;
        body["born"] = m_born;
        const std::lock_guard lock(m_driverLock);
        m_driver.Post(path.c_str(), body.dump(), "application/json");
    }

    bool isForOther(const httplib::Request& request, httplib::Response& response) const
    {
        if (!request.has_header("X-Dragonflyloft-Expect-Instance")
            || request.get_header_value("X-Dragonflyloft-Expect-Instance") == m_options.id)
            return false;
        answer(response, 421, json::object());
        return true;
    }

    bool isFenced(const json& order, httplib::Response& response)
    {
        const auto token = order.value("fencingToken", std::int64_t { 0 });
        if (token >= m_token) {
            m_token = token;
            return false;
        }
        answer(response, 409, { { "reason", "fence" } });
        return true;
    }

    void extendLease(const json& order)
    {
        if (order.contains("deadlineMs"))
            m_leaseUntil = std::max(m_leaseUntil, std::min(order["deadlineMs"].get<std::int64_t>(), clock() + maxHoldMs));
    }

    void onStart(const httplib::Request& request, httplib::Response& response)
    {
        if (isForOther(request, response))
            return;
        const auto order = json::parse(request.body);
        const auto task = order["task"].get<std::string>();
        const auto run = order["run"].get<std::int64_t>();
        {
            const std::lock_guard lock(m_lock);
            if (isFenced(order, response))
                return;
            if (order["deadlineMs"].get<std::int64_t>() < clock()) {
                answer(response, 409, { { "reason", "late" } });
                return;
            }
            extendLease(order);
            const auto known = m_runs.find(task);
            if (known != m_runs.end() && known->second.run == run) {
                answer(response, 200, json::object());
                return;
            }
            if (known != m_runs.end() || (m_lastRuns.contains(task) && m_lastRuns[task] >= run)) {
                answer(response, 409, { { "reason", "old" } });
                return;
            }
            task_run started { .run = run,
                .spec = json::parse(order["spec"].get<std::string>()),
                .checkpoint = order.value("checkpoint", std::string()),
                .startedAt = steady::now(),
                .worksSince = {} };
            if (!started.spec.contains("gang"))
                started.worksSince = started.startedAt;
            m_runs.emplace(task, std::move(started));
        }
        tell("/started", { { "task", task }, { "run", run }, { "checkpoint", order.value("checkpoint", std::string()) } });
        answer(response, 200, json::object());
    }

    void onStop(const httplib::Request& request, httplib::Response& response)
    {
        if (isForOther(request, response))
            return;
        const auto order = json::parse(request.body);
        const std::lock_guard lock(m_lock);
        if (isFenced(order, response))
            return;
        const auto task = order["task"].get<std::string>();
        const auto run = order["run"].get<std::int64_t>();
        m_lastRuns[task] = std::max(m_lastRuns[task], run);
        const auto known = m_runs.find(task);
        if (known != m_runs.end() && known->second.run <= run)
            end(task, "stopped");
        answer(response, 200, json::object());
    }

    void onHold(const httplib::Request& request, httplib::Response& response)
    {
        if (isForOther(request, response))
            return;
        const auto order = json::parse(request.body);
        std::unique_lock lock(m_lock);
        if (isFenced(order, response))
            return;
        extendLease(order);
        const auto acknowledged = order.value("ackCursor", std::int64_t { 0 });
        std::erase_if(m_ended, [acknowledged](const auto& ended) { return ended.number <= acknowledged; });
        const auto wait = std::min(order.value("waitMs", std::int64_t { 0 }), maxWaitMs);
        m_changed.wait_for(lock, milliseconds(wait), [this] { return !m_ended.empty(); });
        json running = json::array();
        for (const auto& [task, run] : m_runs)
            running.push_back({ task, run.run, savedOf(task, run), percentOf(run), 0 });
        json finished = json::array();
        for (const auto& ended : m_ended) {
            if (finished.size() < maxListedEnds)
                finished.push_back({ ended.number, ended.task, ended.run, ended.how, ended.saved });
        }
        answer(response, 200, { { "born", m_born }, { "running", running }, { "finished", finished } });
    }

    /// Work of the run in milliseconds, with what its checkpoint had.
    static std::int64_t workOf(const task_run& run)
    {
        const auto restored = run.checkpoint.empty() ? 0 : std::stoll(run.checkpoint);
        if (!run.worksSince)
            return restored;
        return restored + std::max<std::int64_t>(0, millisSince(*run.worksSince) - (restored > 0 ? restoreMs : 0));
    }

    static std::string savedOf(const std::string&, const task_run& run)
    {
        const auto saves = run.spec.value("saves", false) ? workOf(run) / savedEveryMs * savedEveryMs : 0;
        if (saves == 0)
            return run.checkpoint;
        auto text = std::to_string(saves);
        return std::string(16 - text.size(), '0') + text;
    }

    static int percentOf(const task_run& run)
    {
        if (run.spec.value("lasts", false))
            return run.worksSince && millisSince(*run.worksSince) >= startupMs ? 100 : 0;
        return static_cast<int>(std::min<std::int64_t>(100, workOf(run) * 100 / run.spec.value("ms", 1000)));
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto found = m_runs.find(task);
        const auto saved = how == "done" ? std::string() : savedOf(task, found->second);
        const auto run = found->second.run;
        m_ended.push_back({ ++m_lastNumber, task, run, how, saved });
        m_lastRuns[task] = std::max(m_lastRuns[task], run);
        m_runs.erase(found);
        m_changed.notify_all();
        m_reports.push_back({ { "task", task }, { "run", run }, { "how", how }, { "saved", saved } });
    }

    void work()
    {
        while (true) {
            std::this_thread::sleep_for(tick);
            askAboutGangs();
            std::vector<json> reports;
            {
                const std::lock_guard lock(m_lock);
                std::vector<std::pair<std::string, std::string>> ends;
                for (const auto& [task, run] : m_runs) {
                    if (clock() > m_leaseUntil)
                        ends.emplace_back(task, "lapsed");
                    else if (!run.spec.value("lasts", false) && run.worksSince && workOf(run) >= run.spec.value("ms", 1000))
                        ends.emplace_back(task, "done");
                }
                for (const auto& [task, how] : ends)
                    end(task, how);
                reports.swap(m_reports);
            }
            for (auto& report : reports)
                tell("/ended", report);
        }
    }

    /// The driver knows which members of a gang are present on all workers.
    void askAboutGangs()
    {
        std::vector<std::pair<std::string, task_run>> members;
        {
            const std::lock_guard lock(m_lock);
            for (const auto& [task, run] : m_runs) {
                if (run.spec.contains("gang"))
                    members.emplace_back(task, run);
            }
        }
        for (const auto& [task, run] : members) {
            const json question { { "group", groupOf(task) }, { "task", task }, { "run", run.run },
                { "size", run.spec["gang"] }, { "worker", m_options.id } };
            std::string state;
            {
                const std::lock_guard lock(m_driverLock);
                const auto reply = m_driver.Post("/gang", question.dump(), "application/json");
                state = reply ? reply->body : "";
            }
            const std::lock_guard lock(m_lock);
            const auto found = m_runs.find(task);
            if (found == m_runs.end() || found->second.run != run.run)
                continue;
            if (state == "broken")
                end(task, "broken");
            else if (state.starts_with("complete") && !found->second.worksSince)
                found->second.worksSince = steady::time_point(std::chrono::nanoseconds(std::stoll(state.substr(state.find(' ')))));
            else if (state == "waiting" && millisSince(found->second.startedAt) > gangWaitMs)
                end(task, "alone");
        }
    }

    void beat()
    {
        while (true) {
            tell("/registered", { { "seq", ++m_beats } });
            std::this_thread::sleep_for(milliseconds(1500));
        }
    }

    worker_options m_options;
    std::int64_t m_born;
    steady::time_point m_startedAt;
    httplib::Server m_server;
    std::mutex m_driverLock;
    httplib::Client m_driver;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::int64_t m_token { 0 };
    std::int64_t m_leaseUntil { 0 };
    std::int64_t m_lastNumber { 0 };
    std::int64_t m_beats { 0 };
    std::map<std::string, task_run> m_runs;
    std::map<std::string, std::int64_t> m_lastRuns;
    std::vector<ended_run> m_ended;
    std::vector<json> m_reports;
};

}

int runWorker(const worker_options& options) { return worker(options).run(); }
