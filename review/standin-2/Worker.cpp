#include "Standin.h"

#include <condition_variable>
#include <limits>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

namespace Standin {

namespace {

    struct run_state {
        std::int64_t run { 0 };
        /// Work in milliseconds: what is needed, and what is done.
        std::int64_t needed { 0 };
        std::int64_t worked { 0 };
        std::int64_t cpu { 0 };
        std::string given;
        std::string checkpoint;
        std::int64_t startedAt { 0 };
        std::int64_t stopAt { 0 };
        /// Members of its gang; 0 if it has none.
        int gang { 0 };
        bool hasMet { false };
        bool saves { false };
        bool lasts { false };
    };

    struct worker {
        arguments given;
        std::mutex lock;
        std::condition_variable ended;
        std::int64_t bornSteady { steadyMs() };
        std::int64_t born { wallMs() };
        std::int64_t deadline { 0 };
        std::int64_t fence { 0 };
        std::int64_t nextEnd { 1 };
        std::map<std::string, run_state> runs;
        /// Highest run of each task that has ended or was stopped here.
        std::map<std::string, std::int64_t> over;
        std::vector<json> ends;
        /// Instances with other tokens don't reach it.
        std::int64_t leastToken { 0 };
        std::int64_t mostToken { std::numeric_limits<std::int64_t>::max() };
        /// The next start has no answer and isn't carried out yet.
        bool holdsNextStart { false };
        std::string heldStart;

        std::int64_t clock() const { return steadyMs() - bornSteady; }
        const std::string& id() const { return given.at("id"); }
        void record(const std::string& what) const { note(given.at("record"), "worker " + id(), what); }

        void end(const std::string& task, const char* how)
        {
            const auto& run = runs.at(task);
            record("end " + task + " run " + std::to_string(run.run) + ' ' + how + " saved=" + run.checkpoint);
            over[task] = std::max(over[task], run.run);
            ends.push_back({ nextEnd++, task, run.run, how, run.checkpoint });
            runs.erase(task);
            ended.notify_all();
        }

        void extend(std::int64_t until) { deadline = std::max(deadline, std::min(until, clock() + holdMaxMs)); }
    };

    std::int64_t numberIn(const std::string& spec, const std::string& name)
    {
        std::istringstream words(spec);
        for (std::string word; words >> word;) {
            if (word.rfind(name + '=', 0) == 0)
                return std::stoll(word.substr(name.size() + 1));
        }
        return 0;
    }

    std::string hex(std::int64_t number)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%08llx", static_cast<unsigned long long>(number));
        return text;
    }

    void answer(const worker& state, httplib::Response& response, int status, json body = json::object())
    {
        body["clockMs"] = state.clock();
        body["born"] = state.born;
        response.status = status;
        response.set_content(body.dump(), "application/json");
    }

    /// Answers an order for another worker, or of a leader that was superseded.
    bool isRefused(worker& state, std::unique_lock<std::mutex>& guard, const httplib::Request& request, const json& in,
        httplib::Response& response)
    {
        const auto meant = request.get_header_value("X-Dragonflyloft-Expect-Instance");
        if (!meant.empty() && meant != state.id()) {
            answer(state, response, 421);
            return true;
        }
        const auto token = in.value("fencingToken", std::int64_t(0));
        if (token < state.leastToken || token > state.mostToken) {
            // The packets are lost: it does nothing, and the answer comes after the caller has given up.
            constexpr int lostMs = 2500;
            guard.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(lostMs));
            response.status = 503;
            return true;
        }
        if (token < state.fence) {
            answer(state, response, 409, { { "reason", "fence" } });
            return true;
        }
        state.fence = token;
        return false;
    }

    void start(worker& state, const httplib::Request& request, httplib::Response& response)
    {
        const auto in = json::parse(request.body);
        std::unique_lock guard(state.lock);
        if (isRefused(state, guard, request, in, response))
            return;
        const auto task = in.at("task").get<std::string>();
        const auto run = in.at("run").get<std::int64_t>();
        const auto until = in.at("deadlineMs").get<std::int64_t>();
        const auto spec = in.at("spec").get<std::string>();
        const auto given = in.value("checkpoint", std::string());
        const auto what = "start " + task + " run " + std::to_string(run) + " spec=\"" + spec + "\" checkpoint=" + given;
        if (std::exchange(state.holdsNextStart, false)) {
            constexpr int lostMs = 2500;
            state.heldStart = request.body;
            state.record(what + " -> no answer, not carried out yet");
            guard.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(lostMs));
            response.status = 503;
            return;
        }
        if (until <= state.clock()) {
            state.record(what + " -> late");
            return answer(state, response, 409, { { "reason", "late" } });
        }
        const auto known = state.runs.find(task);
        if (known != state.runs.end() && known->second.run == run)
            return answer(state, response, 200);
        const bool isOld = (state.over.count(task) > 0 && run <= state.over[task])
            || (known != state.runs.end() && run < known->second.run);
        state.extend(until);
        if (isOld || known != state.runs.end()) {
            state.record(what + " -> old");
            return answer(state, response, 409, { { "reason", "old" } });
        }
        std::int64_t used = 0;
        for (const auto& [name, other] : state.runs)
            used += other.cpu;
        const auto cpu = numberIn(spec, "cpu");
        if (used + cpu > std::stoll(state.given.at("cpu"))) {
            state.record(what + " -> room");
            return answer(state, response, 409, { { "reason", "room" } });
        }
        run_state added { .run = run, .needed = numberIn(spec, "ms"), .cpu = cpu, .given = given, .checkpoint = given };
        added.startedAt = state.clock();
        added.gang = static_cast<int>(numberIn(spec, "gang"));
        added.saves = numberIn(spec, "saves") > 0;
        added.lasts = numberIn(spec, "lasts") > 0;
        // A checkpoint begins with the work that it holds.
        if (!given.empty())
            added.worked = std::stoll(given.substr(0, 8), nullptr, 16);
        state.runs.emplace(task, added);
        state.record(what + " -> started");
        answer(state, response, 200);
    }

    void stop(worker& state, const httplib::Request& request, httplib::Response& response)
    {
        const auto in = json::parse(request.body);
        std::unique_lock guard(state.lock);
        if (isRefused(state, guard, request, in, response))
            return;
        const auto task = in.at("task").get<std::string>();
        const auto run = in.at("run").get<std::int64_t>();
        const auto known = state.runs.find(task);
        state.record("stop " + task + " run " + std::to_string(run));
        if (known != state.runs.end() && known->second.run <= run && known->second.stopAt == 0)
            known->second.stopAt = state.clock() + stopMs / 4;
        state.over[task] = std::max(state.over[task], run);
        answer(state, response, 200);
    }

    void hold(worker& state, const httplib::Request& request, httplib::Response& response)
    {
        const auto in = json::parse(request.body);
        std::unique_lock guard(state.lock);
        if (isRefused(state, guard, request, in, response))
            return;
        const auto acknowledged = in.value("ackCursor", std::int64_t(0));
        std::erase_if(state.ends, [&state, acknowledged](const json& end) {
            const bool isNoted = end[0].get<std::int64_t>() <= acknowledged;
            if (isNoted)
                state.record("noted end " + end[1].get<std::string>() + " run " + std::to_string(end[2].get<std::int64_t>()));
            return isNoted;
        });
        if (in.contains("deadlineMs"))
            state.extend(in.at("deadlineMs").get<std::int64_t>());
        const auto wait = in.value("waitMs", 0);
        if (state.ends.empty() && wait > 0)
            state.ended.wait_for(guard, std::chrono::milliseconds(wait), [&state] { return !state.ends.empty(); });
        auto running = json::array();
        for (const auto& [task, run] : state.runs) {
            const auto percent = run.lasts ? (state.clock() - run.startedAt > 200 ? 100 : 50) : std::min<std::int64_t>(99, run.worked * 100 / std::max<std::int64_t>(1, run.needed));
            running.push_back({ task, run.run, run.checkpoint, percent, 10 });
        }
        auto finished = json::array();
        for (const auto& end : state.ends) {
            if (finished.size() < 500)
                finished.push_back(end);
        }
        answer(state, response, 200, { { "running", running }, { "finished", finished } });
    }

    enum class gang_news {
        Waits,
        Works,
        Broken,
        Done
    };

    gang_news meet(httplib::Client& platform, const std::string& task, const run_state& run)
    {
        const auto dot = task.rfind('.');
        const json body { { "step", task.substr(0, dot) }, { "index", std::stoi(task.substr(dot + 1)) }, { "run", run.run },
            { "count", run.gang }, { "checkpoint", run.given }, { "done", run.worked >= run.needed } };
        const auto reply = platform.Post("/stand-in/meet", body.dump(), "application/json");
        if (!reply || reply->status != 200)
            return gang_news::Waits;
        const auto out = json::parse(reply->body);
        if (out.at("done").get<bool>())
            return gang_news::Done;
        if (out.at("broken").get<bool>())
            return gang_news::Broken;
        return out.at("works").get<bool>() ? gang_news::Works : gang_news::Waits;
    }

    /// Advances a run by `passed`. How it has ended, or null.
    const char* advance(worker& state, httplib::Client& platform, const std::string& task, run_state& run, std::int64_t passed)
    {
        const auto now = state.clock();
        if (run.stopAt > 0 && now >= run.stopAt)
            return "stopped";
        if (run.gang > 0) {
            const auto news = meet(platform, task, run);
            if (news == gang_news::Done)
                return "done";
            if (news == gang_news::Broken)
                return "broken";
            run.hasMet = run.hasMet || news == gang_news::Works;
            if (!run.hasMet && now - run.startedAt >= gangMs)
                return "alone";
            if (news == gang_news::Waits)
                return nullptr;
        }
        const auto before = run.worked / saveMs;
        run.worked += passed;
        if (run.saves && run.worked / saveMs > before)
            run.checkpoint = hex(run.worked / saveMs * saveMs) + task.substr(0, 8);
        return !run.lasts && run.worked >= run.needed && run.gang == 0 ? "done" : nullptr;
    }

    void tick(worker& state)
    {
        httplib::Client platform("127.0.0.1", std::stoi(state.given.at("store")));
        platform.set_keep_alive(true);
        platform.set_tcp_nodelay(true);
        auto last = steadyMs();
        bool hadLease = false;
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            const auto now = steadyMs();
            const auto passed = now - last;
            last = now;
            const std::lock_guard guard(state.lock);
            const bool hasLease = state.clock() < state.deadline;
            if (std::exchange(hadLease, hasLease) && !hasLease)
                state.record("lease lapsed");
            std::vector<std::pair<std::string, const char*>> over;
            for (auto& [task, run] : state.runs) {
                if (state.clock() >= state.deadline)
                    over.emplace_back(task, "lapsed");
                else if (const char* how = advance(state, platform, task, run, passed))
                    over.emplace_back(task, how);
            }
            for (const auto& [task, how] : over)
                state.end(task, how);
        }
    }

    void registerWorker(worker& state)
    {
        httplib::Client platform("127.0.0.1", std::stoi(state.given.at("store")));
        const auto& given = state.given;
        const json capacity { { "cpu", std::stoll(given.at("cpu")) }, { "memMb", 65536 }, { "gpu", 0 } };
        const json labels { "a", given.at("rack") };
        const json machine { { "machine", given.at("machine") }, { "pool", given.at("service") }, { "state", "up" },
            { "zone", given.at("zone") }, { "labels", labels }, { "capacity", capacity }, { "id", state.id() } };
        for (int sequence = 1;; ++sequence) {
            const json entry { { "service", given.at("service") }, { "address", "127.0.0.1:" + given.at("port") },
                { "zone", given.at("zone") }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
                { "coldRemainingMs", 0 }, { "capacity", capacity }, { "labels", labels }, { "clockMs", state.clock() },
                { "seq", sequence }, { "born", state.born } };
            platform.Post("/stand-in/machine", machine.dump(), "application/json");
            platform.Post("/stand-in/put?topic=keyed.servers&key=" + state.id(), entry.dump(), "application/json");
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        }
    }

}

int runWorker(const arguments& given)
{
    worker state;
    state.given = given;
    httplib::Server server;
    useManyThreads(server);
    server.Post("/api/run-start", [&state](const auto& request, auto& response) { start(state, request, response); });
    server.Post("/api/run-stop", [&state](const auto& request, auto& response) { stop(state, request, response); });
    server.Post("/api/hold", [&state](const auto& request, auto& response) { hold(state, request, response); });
    server.Post("/api/pace", [&state](const httplib::Request&, httplib::Response& response) { answer(state, response, 200); });
    server.Post("/stand-in/reach", [&state](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard guard(state.lock);
        state.leastToken = std::stoll(request.get_param_value("least"));
        state.mostToken = std::stoll(request.get_param_value("most"));
        response.status = 200;
    });
    server.Post("/stand-in/hold-start", [&state](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard guard(state.lock);
        state.holdsNextStart = request.get_param_value("on") == "1";
        response.status = 200;
    });
    server.Get("/stand-in/held", [&state](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard guard(state.lock);
        response.set_content(state.heldStart, "text/plain");
    });
    server.Get("/stand-in/token", [&state](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard guard(state.lock);
        response.set_content(std::to_string(state.fence), "text/plain");
    });
    state.record("begins, born " + std::to_string(state.born));
    std::thread([&state] { tick(state); }).detach();
    std::thread([&state] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        registerWorker(state);
    }).detach();
    return server.listen("127.0.0.1", std::stoi(given.at("port"))) ? 0 : 2;
}

}
