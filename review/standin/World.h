#pragma once

/// A small stand-in of the users' platform for the scripts of this review: the store, the list of machines, workers and
/// clients, all on loopback and on the real clock, as PROTOCOL.md describes them. One process holds the stand-ins; the
/// daemons are separate processes, started with the command of deploy/system.toml.

#include "Http.h"

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

using json = nlohmann::json;

/// What was sent, answered and run, with the time since the start.
class record {
public:
    explicit record(const std::string& path)
        : m_file(path)
        , m_began(nowMs())
    {
    }

    void add(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << std::fixed << (nowMs() - m_began) / 1000.0 << ' ' << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_began;
};

/// The platform's store, in its form as a log.
class store {
public:
    explicit store(record& log)
        : m_log(log)
        , m_server([this](const request& in) { return answer(in); })
    {
    }

    int port() const { return m_server.port(); }

    /// Writes a record of the operator or of a worker.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        std::string content(1, static_cast<char>(key.size()));
        m_partitions[topic + "/0"].records.push_back(content + key + value);
        m_changed.notify_all();
    }

    /// The store is down: calls stay without an answer, also later, and nothing is done.
    void setDown(bool isDown)
    {
        m_isDown = isDown;
        m_log.add(isDown ? "the store is down" : "the store is back");
    }

    /// Appends that were refused because a record was longer than `recordBytes`.
    int tooLong() const { return m_tooLong; }

private:
    struct writer {
        std::int64_t epoch { -1 };
        std::int64_t next { 0 };
        std::map<std::int64_t, std::string> answers;
    };

    struct partition {
        std::vector<std::string> records;
        std::map<std::string, writer> writers;
        std::mutex order;
    };

    static constexpr std::size_t recordBytes = 262144;
    static constexpr std::size_t callBytes = 2097152;

    static std::uint32_t bigEndian(const std::string& in, std::size_t at)
    {
        std::uint32_t number = 0;
        for (std::size_t index = 0; index < 4; ++index)
            number = (number << 8U) | static_cast<unsigned char>(in[at + index]);
        return number;
    }

    static void addBigEndian(std::string& out, std::uint64_t number, int bytes)
    {
        for (int index = bytes - 1; index >= 0; --index)
            out.push_back(static_cast<char>((number >> (8U * static_cast<unsigned>(index))) & 0xffU));
    }

    static std::string base64(const std::string& in)
    {
        static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < in.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index)
                group = (group << 8U) | (at + index < in.size() ? static_cast<unsigned char>(in[at + index]) : 0U);
            for (std::size_t index = 0; index < 4; ++index)
                out.push_back(at + index <= in.size() ? letters[(group >> (18 - 6 * index)) & 63U] : '=');
        }
        return out;
    }

    std::optional<response> answer(const request& in)
    {
        const auto name = in.query("topic") + '/' + in.query("part");
        if (m_isDown) {
            std::this_thread::sleep_for(std::chrono::seconds(20));
            return std::nullopt;
        }
        if (in.path() == "/api/log-append")
            return append(in, name);
        if (in.path() == "/api/log-read")
            return read(in, name);
        if (in.path() == "/api/log-newest")
            return newest(in, name);
        return response { 404, "{}" };
    }

    response append(const request& in, const std::string& name)
    {
        std::vector<std::string> records;
        for (std::size_t at = 0; at + 4 <= in.body.size();) {
            const auto length = bigEndian(in.body, at);
            if (at + 4 + length > in.body.size())
                return { 400, "{}" };
            records.push_back(in.body.substr(at + 4, length));
            at += 4 + length;
        }
        for (const auto& entry : records) {
            if (entry.size() <= recordBytes && in.body.size() <= callBytes)
                continue;
            if (m_tooLong++ % 20 == 0)
                m_log.add("store refuses with 400 an append to " + name + ": a record has " + std::to_string(entry.size())
                    + " bytes, recordBytes is " + std::to_string(recordBytes));
            return { 400, R"({"error":"record too long"})" };
        }
        partition* part = nullptr;
        {
            const std::lock_guard lock(m_mutex);
            part = &m_partitions[name];
        }
        const std::lock_guard order(part->order);
        std::this_thread::sleep_for(std::chrono::milliseconds(3)); // appendMs
        const std::lock_guard lock(m_mutex);
        writer* by = nullptr;
        std::int64_t epoch = 0;
        std::int64_t sequence = 0;
        if (!in.query("producer").empty()) {
            by = &part->writers[in.query("producer")];
            epoch = std::stoll(in.query("epoch"));
            sequence = std::stoll(in.query("seq"));
            if (epoch < by->epoch)
                return { 409, R"({"reason":"fenced"})" };
            if (epoch == by->epoch && by->answers.contains(sequence))
                return { 200, by->answers.at(sequence) };
            if (epoch == by->epoch && sequence != by->next)
                return { 409, json { { "reason", "seq" }, { "seq", by->next } }.dump() };
        }
        const auto end = static_cast<std::int64_t>(part->records.size());
        if (!in.query("asOf").empty() && std::stoll(in.query("asOf")) != end)
            return { 412, json { { "end", end } }.dump() };
        part->records.insert(part->records.end(), records.begin(), records.end());
        const auto out = json { { "offset", end }, { "end", part->records.size() } }.dump();
        if (by) {
            if (epoch > by->epoch)
                by->answers.clear();
            by->epoch = epoch;
            by->next = sequence + 1;
            by->answers[sequence] = out;
            if (by->answers.size() > 5)
                by->answers.erase(by->answers.begin());
        }
        m_changed.notify_all();
        return { 200, out };
    }

    response read(const request& in, const std::string& name)
    {
        const auto from = static_cast<std::size_t>(std::stoll("0" + in.query("from")));
        const auto limit = in.query("maxKb").empty() ? 1024U : std::stoul(in.query("maxKb"));
        const auto wait = in.query("waitMs").empty() ? 0 : std::stol(in.query("waitMs"));
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(
            lock, std::chrono::milliseconds(wait), [&] { return m_partitions[name].records.size() > from; });
        const auto& records = m_partitions[name].records;
        std::string out;
        addBigEndian(out, records.size(), 8);
        addBigEndian(out, 0, 8);
        for (std::size_t at = from; at < records.size(); ++at) {
            if (out.size() + 4 + records[at].size() > limit * 1024)
                break;
            addBigEndian(out, records[at].size(), 4);
            out += records[at];
        }
        return { 200, out, "application/octet-stream" };
    }

    response newest(const request& in, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto& records = m_partitions[name].records;
        std::map<std::string, std::size_t> keys;
        for (std::size_t at = 0; at < records.size(); ++at) {
            const auto length = static_cast<unsigned char>(records[at][0]);
            const auto key = records[at].substr(1, length);
            if (records[at].size() > 1U + length)
                keys[key] = at;
            else
                keys.erase(key);
        }
        json items = json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto entry = keys.upper_bound(in.query("dependsOn")); entry != keys.end(); ++entry) {
            const auto value = records[entry->second].substr(1 + entry->first.size());
            if (items.size() >= 500 || (!items.empty() && bytes + value.size() > 1000000)) {
                more = true;
                break;
            }
            bytes += value.size();
            items.push_back({ { "key", entry->first }, { "value", base64(value) }, { "offset", entry->second } });
        }
        return { 200, json { { "items", items }, { "more", more }, { "end", records.size() } }.dump() };
    }

    record& m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, partition> m_partitions;
    std::atomic<int> m_tooLong { 0 };
    std::atomic<bool> m_isDown { false };
    server m_server;
};

/// What the clients submitted, so that workers know how long tasks take, and members of gangs know each other.
struct step_facts {
    int count { 1 };
    std::int64_t cpu { 0 };
    std::int64_t memMb { 0 };
    double workMs { 500 };
    bool isGang { false };
    bool isLasting { false };
    bool savesCheckpoints { false };
};

class worker;

/// Everything that the stand-ins share.
struct world {
    explicit world(const std::string& recordPath)
        : log(recordPath)
        , platform(log)
    {
    }

    record log;
    store platform;
    /// Guards all that follows, and the states of the workers.
    std::recursive_mutex mutex;
    std::map<std::string, std::vector<step_facts>> jobs;
    std::vector<std::unique_ptr<worker>> workers;
    /// Starts of a task that was running on another worker that is up, or whose run has ended `done` and been
    /// acknowledged.
    int startedTwice { 0 };
    /// Runs that had ended `done` when their task was started again.
    std::set<std::pair<std::string, std::int64_t>> startedAgain;
};

struct task_id {
    std::string job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    static std::optional<task_id> parse(const std::string& text)
    {
        std::istringstream in(text);
        std::string part;
        std::vector<std::string> parts;
        while (std::getline(in, part, '.'))
            parts.push_back(part);
        if (parts.size() != 4)
            return std::nullopt;
        return task_id { parts[0], std::stoi(parts[1]), std::stoi(parts[2]), std::stoi(parts[3]) };
    }
};

/// One worker. Its machine stays when it crashes and comes back under another id.
class worker {
public:
    struct run {
        std::int64_t number { 0 };
        std::string spec;
        std::string carried;
        std::int64_t startedAt { 0 };
        step_facts facts;
        /// When it began to work: at its start, or when its gang was complete.
        std::optional<std::int64_t> worksSince;
        double doneBefore { 0 };
        std::optional<std::int64_t> stopAt;
    };

    struct end {
        std::int64_t number { 0 };
        std::string task;
        std::int64_t run { 0 };
        std::string how;
        std::string saved;
        std::int64_t at { 0 };
    };

    /// `slowness`: its steady clock runs this much slower than real time.
    worker(world& owner, const std::string& name, const std::string& pool, double slowness = 0)
        : m_world(owner)
        , m_name(name)
        , m_pool(pool)
        , m_rate(1 - slowness)
        , m_server([this](const request& in) { return answer(in); })
    {
        beginLife();
        m_ticker = std::thread([this] {
            while (!m_isOver) {
                tick();
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        });
    }

    ~worker()
    {
        m_isOver = true;
        m_ticker.join();
    }

    const std::string& id() const { return m_id; }
    const std::string& name() const { return m_name; }
    const std::string& pool() const { return m_pool; }
    bool isUp() const { return m_isUp; }
    const std::map<std::string, run>& runs() const { return m_runs; }
    /// No packets pass, in either direction; connections stay silent. It goes on with what it runs.
    void setCut(bool isCut)
    {
        m_isCut = isCut;
        m_world.log.add(m_id + (isCut ? " is cut off" : " is reached again"));
    }

    /// It crashes: all that it runs is gone, its connections are reset. It comes back after `downMs` under another id.
    void crash(int downMs, bool keepsId = false)
    {
        const std::lock_guard lock(m_world.mutex);
        m_world.log.add(m_id + " crashes with " + std::to_string(m_runs.size()) + " runs");
        m_isUp = false;
        const auto lost = std::exchange(m_runs, {});
        m_usedCpu = 0;
        m_usedMemory = 0;
        m_server.resetConnections();
        // Its registration stays until three heartbeats have passed, or for good if it is back under its id by then.
        if (!keepsId)
            m_silent.emplace_back(m_id, nowMs() + 3 * heartbeatMs);
        m_backAt = nowMs() + downMs;
        m_keepsId = keepsId;
        for (const auto& [name, run] : lost)
            breakGang(name, run);
    }

    /// Called for each start that was carried out, and for each run that ended.
    std::function<void(worker&, const std::string&, const run&)> onStarted;
    std::function<void(worker&, const end&)> onEnded;

private:
    static constexpr std::int64_t holdMaxMs = 10000;
    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::int64_t stopMs = 100;
    static constexpr std::int64_t gangMs = 3000;
    static constexpr double saveMs = 500;
    static constexpr double restoreMs = 600;
    static constexpr std::int64_t cpu = 64000;
    static constexpr std::int64_t memMb = 262144;

    void beginLife()
    {
        static std::atomic<int> lives { 0 };
        if (!std::exchange(m_keepsId, false))
            m_id = "i-" + std::to_string(100000 + ++lives) + m_name;
        m_born = wallMs();
        m_bornSteady = nowMs();
        m_fence = 0;
        m_ends.clear();
        m_lastEnd = 0;
        m_stopped.clear();
        m_deadline = 0;
        m_sequence = 0;
        m_beatAt = 0;
        m_isUp = true;
        m_world.log.add("worker " + m_id + " is up on " + m_name);
    }

    std::int64_t clock() const
    {
        return 1000 + static_cast<std::int64_t>(static_cast<double>(nowMs() - m_bornSteady) * m_rate);
    }

    void beat()
    {
        m_beatAt = nowMs() + heartbeatMs;
        const json entry { { "service", m_pool }, { "address", "127.0.0.1:" + std::to_string(m_server.port()) },
            { "zone", "zone-1" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", cpu }, { "memMb", memMb }, { "gpu", 0 } } }, { "labels", { "a", "r-" + m_name } },
            { "clockMs", clock() }, { "seq", ++m_sequence }, { "born", m_born }, { "machine", "m-" + m_name } };
        m_world.platform.put("keyed.servers", m_id, entry.dump());
    }

    step_facts factsOf(const std::string& name) const
    {
        const auto task = task_id::parse(name);
        const auto job = task ? m_world.jobs.find(task->job) : m_world.jobs.end();
        if (job == m_world.jobs.end() || task->step >= static_cast<int>(job->second.size()))
            return {};
        return job->second[static_cast<std::size_t>(task->step)];
    }

    static double workOf(const run& current)
    {
        return current.doneBefore
            + (current.worksSince ? std::max(0.0, static_cast<double>(nowMs() - *current.worksSince)) : 0.0);
    }

    static std::string savedBy(const run& current, bool isStopped)
    {
        if (!current.facts.savesCheckpoints)
            return {};
        const auto work = workOf(current);
        const auto saved = isStopped ? work : std::max(current.doneBefore, std::floor(work / saveMs) * saveMs);
        if (saved <= 0)
            return current.carried;
        char text[24];
        std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(saved));
        return text;
    }

    /// Members of a run of a gang, on all workers that are up.
    std::vector<std::pair<worker*, std::string>> membersOf(const std::string& name, std::int64_t number) const
    {
        std::vector<std::pair<worker*, std::string>> members;
        const auto prefix = name.substr(0, name.rfind('.') + 1);
        for (const auto& other : m_world.workers) {
            for (const auto& [task, current] : other->m_runs) {
                if (task.starts_with(prefix) && current.number == number)
                    members.emplace_back(other.get(), task);
            }
        }
        return members;
    }

    void breakGang(const std::string& name, const run& lost)
    {
        if (!lost.facts.isGang)
            return;
        for (const auto& [other, task] : membersOf(name, lost.number))
            other->finish(task, "broken");
    }

    void finish(const std::string& name, const std::string& how)
    {
        const auto found = m_runs.find(name);
        if (found == m_runs.end())
            return;
        const bool isDone = how == "done";
        const auto saved = isDone ? std::string() : savedBy(found->second, how == "stopped");
        const end ended { .number = ++m_lastEnd, .task = name, .run = found->second.number, .how = how, .saved = saved, .at = nowMs() };
        m_ends.push_back(ended);
        auto& stopped = m_stopped[name];
        stopped = std::max(stopped, found->second.number);
        m_usedCpu -= found->second.facts.cpu;
        m_usedMemory -= found->second.facts.memMb;
        m_runs.erase(found);
        if (onEnded)
            onEnded(*this, ended);
        m_changed.notify_all();
    }

    void tick()
    {
        const std::lock_guard lock(m_world.mutex);
        std::erase_if(m_silent, [this](const auto& entry) {
            if (nowMs() < entry.second)
                return false;
            m_world.platform.put("keyed.servers", entry.first, "");
            return true;
        });
        if (!m_isUp) {
            if (m_backAt == 0 || nowMs() < m_backAt)
                return;
            beginLife();
        }
        if (nowMs() >= m_beatAt && !m_isCut)
            beat();
        if (clock() >= m_deadline)
            m_lapsedAt = nowMs();
        std::vector<std::pair<std::string, std::string>> over;
        for (auto& [name, current] : m_runs) {
            const auto& facts = current.facts;
            if (clock() >= m_deadline)
                over.emplace_back(name, "lapsed");
            else if (current.stopAt && nowMs() >= *current.stopAt)
                over.emplace_back(name, "stopped");
            else if (facts.isGang && !current.worksSince)
                joinGang(name, current, facts, over);
            else if (!facts.isLasting && workOf(current) >= facts.workMs)
                over.emplace_back(name, "done");
        }
        for (const auto& [name, how] : over) {
            const auto found = m_runs.find(name);
            if (found == m_runs.end())
                continue;
            const auto lost = found->second;
            const bool isGang = lost.facts.isGang;
            finish(name, how);
            if (!isGang || how == "alone")
                continue;
            for (const auto& [other, task] : membersOf(name, lost.number))
                other->finish(task, how == "done" ? "done" : "broken");
        }
    }

    void joinGang(const std::string& name, run& current, const step_facts& facts,
        std::vector<std::pair<std::string, std::string>>& over)
    {
        const auto members = membersOf(name, current.number);
        // All members must carry the same checkpoint: others aren't members of one gang.
        const auto carriesSame = [&current](const auto& member) {
            return member.first->m_runs.at(member.second).carried == current.carried;
        };
        if (static_cast<int>(std::count_if(members.begin(), members.end(), carriesSame)) == facts.count) {
            for (const auto& [other, task] : members)
                other->m_runs.at(task).worksSince = nowMs() + (current.carried.empty() ? 0 : static_cast<int>(restoreMs));
        } else if (nowMs() - current.startedAt >= gangMs) {
            over.emplace_back(name, "alone");
        }
    }

    json base() const { return { { "clockMs", clock() } }; }

    json refusal(const char* reason) const
    {
        auto out = base();
        out["reason"] = reason;
        return out;
    }

    void extend(const json& in)
    {
        if (in.contains("deadlineMs"))
            m_deadline = std::max(m_deadline, std::min(in.at("deadlineMs").get<std::int64_t>(), clock() + holdMaxMs));
    }

    std::optional<response> answer(const request& in)
    {
        if (m_isCut) {
            while (m_isCut && !m_isOver)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            return std::nullopt;
        }
        auto out = carryOut(in);
        // The answer of an order that was under way when the worker was cut off is lost.
        while (m_isCut && !m_isOver) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            out.reset();
        }
        return out;
    }

    std::optional<response> carryOut(const request& in)
    {
        std::unique_lock lock(m_world.mutex);
        if (!m_isUp)
            return std::nullopt;
        const auto expected = in.header("x-dragonflyloft-expect-instance");
        if (!expected.empty() && expected != m_id)
            return response { 421, base().dump() };
        const auto body = json::parse(in.body, nullptr, false);
        if (!body.is_object())
            return response { 400, base().dump() };
        const auto fence = body.value("fencingToken", std::int64_t { 0 });
        if (fence < m_fence)
            return response { 409, refusal("fence").dump() };
        m_fence = fence;
        if (in.path() == "/api/run-start")
            return start(body);
        if (in.path() == "/api/run-stop")
            return stop(body);
        if (in.path() == "/api/hold")
            return hold(body, lock);
        if (in.path() == "/api/pace")
            return response { 200, base().dump() };
        return response { 404, base().dump() };
    }

    response start(const json& in)
    {
        const auto name = in.at("task").get<std::string>();
        const auto number = in.at("run").get<std::int64_t>();
        if (in.value("deadlineMs", std::int64_t { 0 }) <= clock())
            return { 409, refusal("late").dump() };
        extend(in);
        const auto found = m_runs.find(name);
        if (found != m_runs.end() && found->second.number == number)
            return { 200, base().dump() };
        const auto stopped = m_stopped.find(name);
        if (found != m_runs.end() || (stopped != m_stopped.end() && number <= stopped->second))
            return { 409, refusal("old").dump() };
        const auto facts = factsOf(name);
        if (m_usedCpu + facts.cpu > cpu || m_usedMemory + facts.memMb > memMb)
            return { 409, refusal("room").dump() };
        m_usedCpu += facts.cpu;
        m_usedMemory += facts.memMb;
        run begun;
        begun.number = number;
        begun.spec = in.value("spec", std::string());
        begun.carried = in.value("checkpoint", std::string());
        begun.startedAt = nowMs();
        begun.facts = facts;
        if (!begun.carried.empty())
            begun.doneBefore = static_cast<double>(std::stoul(begun.carried, nullptr, 16));
        if (!facts.isGang)
            begun.worksSince = nowMs() + (begun.carried.empty() ? 0 : static_cast<int>(restoreMs));
        noteOthers(name, number);
        m_runs[name] = begun;
        if (onStarted)
            onStarted(*this, name, begun);
        return { 200, base().dump() };
    }

    void noteOthers(const std::string& name, std::int64_t number)
    {
        for (const auto& other : m_world.workers) {
            for (const auto& ended : other->m_ends) {
                if (ended.task != name || ended.how != "done")
                    continue;
                m_world.startedAgain.emplace(name, ended.run);
                m_world.log.add(m_id + " starts " + name + " run " + std::to_string(number) + " after its run "
                    + std::to_string(ended.run) + " has ended done on " + other->m_id + ", which isn't acknowledged yet");
            }
            const auto running = other->m_runs.find(name);
            if (other.get() == this || !other->m_isUp || running == other->m_runs.end())
                continue;
            if (m_world.startedTwice++ < 20)
                m_world.log.add("TWICE: " + m_id + " starts " + name + " run " + std::to_string(number) + " while "
                    + other->m_id + " runs its run " + std::to_string(running->second.number));
        }
    }

    response stop(const json& in)
    {
        const auto name = in.at("task").get<std::string>();
        const auto number = in.at("run").get<std::int64_t>();
        auto& stopped = m_stopped[name];
        stopped = std::max(stopped, number);
        const auto found = m_runs.find(name);
        if (found != m_runs.end() && found->second.number <= number && !found->second.stopAt)
            found->second.stopAt = nowMs() + stopMs;
        return { 200, base().dump() };
    }

    std::optional<response> hold(const json& in, std::unique_lock<std::recursive_mutex>& lock)
    {
        extend(in);
        const auto cursor = in.value("ackCursor", std::int64_t { 0 });
        std::erase_if(m_ends, [this, cursor](const auto& entry) {
            if (entry.number > cursor)
                return false;
            if (entry.how == "done" && m_world.startedAgain.contains({ entry.task, entry.run }) && m_lapsedAt < entry.at) {
                ++m_world.startedTwice;
                m_world.log.add("TWICE: the end of " + entry.task + " run " + std::to_string(entry.run) + " on " + m_id
                    + " is acknowledged, its lease hasn't lapsed, and the task was started again after that end");
            }
            return true;
        });
        const auto life = m_id;
        const auto until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::min<std::int64_t>(2000, in.value("waitMs", std::int64_t { 0 })));
        m_changed.wait_until(lock, until, [&] { return !m_ends.empty() || m_id != life || !m_isUp; });
        if (m_id != life || !m_isUp)
            return std::nullopt;
        auto out = base();
        out["born"] = m_born;
        out["running"] = json::array();
        out["finished"] = json::array();
        for (const auto& [name, current] : m_runs) {
            const auto& facts = current.facts;
            const bool works = current.worksSince && nowMs() >= *current.worksSince;
            const int percent = facts.isLasting ? (works ? 100 : 0)
                                                : static_cast<int>(std::min(99.0, 100 * workOf(current) / facts.workMs));
            out["running"].push_back({ name, current.number, savedBy(current, false), percent, facts.cpu });
        }
        for (std::size_t at = 0; at < std::min<std::size_t>(500, m_ends.size()); ++at) {
            const auto& entry = m_ends[at];
            out["finished"].push_back({ entry.number, entry.task, entry.run, entry.how, entry.saved });
        }
        return response { 200, out.dump() };
    }

    world& m_world;
    std::string m_name;
    std::string m_pool;
    double m_rate;
    std::string m_id;
    std::int64_t m_born { 0 };
    std::int64_t m_bornSteady { 0 };
    std::int64_t m_fence { 0 };
    std::int64_t m_deadline { 0 };
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_sequence { 0 };
    std::int64_t m_beatAt { 0 };
    std::int64_t m_backAt { 0 };
    /// When its lease was last seen lapsed.
    std::int64_t m_lapsedAt { 0 };
    bool m_keepsId { false };
    /// Ids of earlier lives, and when their registrations expire.
    std::vector<std::pair<std::string, std::int64_t>> m_silent;
    std::int64_t m_usedCpu { 0 };
    std::int64_t m_usedMemory { 0 };
    std::map<std::string, run> m_runs;
    std::map<std::string, std::int64_t> m_stopped;
    std::vector<end> m_ends;
    std::atomic<bool> m_isUp { false };
    std::atomic<bool> m_isCut { false };
    std::atomic<bool> m_isOver { false };
    std::condition_variable_any m_changed;
    server m_server;
    std::thread m_ticker;
};

/// The list of machines. There is one pool, so no machine is moved.
class cloud {
public:
    explicit cloud(world& owner)
        : m_world(owner)
        , m_server([this](const request& in) { return answer(in); })
    {
    }

    int port() const { return m_server.port(); }

private:
    std::optional<response> answer(const request& in)
    {
        if (in.path() != "/api/machines")
            return response { 400, "{}" };
        const std::lock_guard lock(m_world.mutex);
        json machines = json::array();
        for (const auto& entry : m_world.workers) {
            json machine { { "machine", "m-" + entry->name() }, { "pool", entry->pool() },
                { "state", entry->isUp() ? "up" : "down" }, { "zone", "zone-1" }, { "labels", { "a", "r-" + entry->name() } },
                { "capacity", { { "cpu", 64000 }, { "memMb", 262144 }, { "gpu", 0 } } } };
            if (entry->isUp())
                machine["id"] = entry->id();
            machines.push_back(std::move(machine));
        }
        return response { 200, json { { "machines", machines }, { "nextToken", nullptr } }.dump() };
    }

    world& m_world;
    server m_server;
};

/// A daemon as it is deployed.
class daemon {
public:
    daemon(const std::string& name, const std::string& folder, int storePort, int cloudPort)
        : m_name(name)
        , m_folder(folder)
    {
        m_front = freePort();
        m_ready = freePort();
        const auto control = freePort();
        const auto metrics = freePort();
        std::ofstream out(m_folder + '/' + name + ".toml");
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        out << "node = \"" << name << "\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n"
            << "ip = \"127.0.0.1\"\nzone = \"zone-1\"\nregion = \"region\"\ninternalPortRange = [" << metrics << ','
            << metrics << "]\nseeds = [" << at(control) << "]\nbootstrap = true\ninTolerance = false\n"
            << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"rpc\"\n"
            << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"places\","
            << "\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n[zones]\nzone-1 = \"region\"\n[listen]\nfront = " << at(m_front)
            << "\nready = " << at(m_ready) << "\ncontrol = " << at(control)
            << "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
            << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\ncontactMs = 3000\nackMs = 4000\n"
            << "drainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\nevacuateMs = 5000\nholdMaxMs = 10000\nstopMs = 200\n"
            << "gangMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarX = 3\n"
            << "saveS = 0.5\nrestoreMs = 600\nnoticeMs = 4500\nmoveS = 1.5\nupkeepS = 2\nenforceFencing = true\n"
            << "leaseMs = 3000\npaceMs = 100\nharmMs = 4000\n[platform]\naddress = " << at(storePort)
            << "\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nparts = 16\nappendMs = 3.0\npartMbPerS = 20.0\n"
            << "readMbPerS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = 1000\n"
            << "[cloud]\naddress = " << at(cloudPort) << "\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n";
        out.close();
        start();
    }

    void start()
    {
        const auto settings = m_folder + '/' + m_name + ".toml";
        const auto output = m_folder + '/' + m_name + ".log";
        m_process = ::fork();
        if (m_process != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("DRAGONFLYLOFT_NODE_FILE", settings.c_str(), 1);
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        for (int other = 3; other < 4096; ++other)
            ::close(other);
        ::execl("target/loftd", "target/loftd", "--platform", nullptr);
        ::_exit(127);
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        int status = 0;
        ::waitpid(m_process, &status, 0);
        m_process = -1;
    }

    void signal(int number) const { ::kill(m_process, number); }
    int front() const { return m_front; }
    const std::string& name() const { return m_name; }
    bool isReady() const
    {
        const auto got = call(m_ready, { .method = "GET", .target = "/api/ready" }, 1000);
        return got && got->status == 200;
    }

private:
    std::string m_name;
    std::string m_folder;
    int m_front { 0 };
    int m_ready { 0 };
    pid_t m_process { -1 };
};

/// A deployment: the stand-ins, and three daemons that serve on them.
class deployment {
public:
    explicit deployment(const std::string& recordPath)
        : shared(recordPath)
        , machines(shared)
    {
        m_folder = std::filesystem::temp_directory_path() / "loft-review-XXXXXX";
        ::mkdtemp(m_folder.data());
    }

    /// Ends the daemons and removes their files.
    void close()
    {
        for (const auto& entry : daemons)
            entry->kill();
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_folder);
        else
            std::cerr << m_folder << '\n';
    }

    void addWorkers(int count, double slowness = 0)
    {
        const std::lock_guard lock(shared.mutex);
        for (int index = 0; index < count; ++index)
            shared.workers.push_back(std::make_unique<worker>(
                shared, std::string(1, static_cast<char>('a' + shared.workers.size())), "service-1", slowness));
    }

    /// Two tenants, A and B, and two queues of one service.
    void configure(const json& maxCount = json::object())
    {
        const auto route = [](const char* name, const char* prefix) {
            return json { { "name", name }, { "host", "jobs.example" }, { "pathPrefix", prefix }, { "kind", "non_idempotent" },
                { "timeoutMs", 3000 }, { "targetLatencyMs", 600 }, { "priority", 0 }, { "service", "service-1" },
                { "maxAttempts", 2 }, { "stretch", 1.6 }, { "public", false } };
        };
        const json config { { "version", 3 }, { "routes", { route("queue-1", "/one/"), route("queue-2", "/two/") } },
            { "services", { { { "name", "service-1" }, { "admissionCheck", true } } } }, { "limits", json::object() },
            { "tenants",
                { { { "name", "tenant-a" }, { "apiKeys", { "key-a" } }, { "weight", 10 }, { "maxCount", maxCount } },
                    { { "name", "tenant-b" }, { "apiKeys", { "key-b" } }, { "weight", 10 }, { "maxCount", maxCount } } } } };
        shared.platform.put("keyed.op", "config", config.dump());
    }

    bool startDaemons(int count = 3)
    {
        for (int index = 0; index < count; ++index)
            daemons.push_back(std::make_unique<daemon>(
                "front-" + std::to_string(index + 1), m_folder, shared.platform.port(), machines.port()));
        return waitFor(15000, [this] {
            return std::all_of(daemons.begin(), daemons.end(), [](const auto& entry) { return entry->isReady(); });
        });
    }

    static bool waitFor(int limitMs, const std::function<bool()>& isDone)
    {
        const auto until = nowMs() + limitMs;
        while (nowMs() < until) {
            if (isDone())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return isDone();
    }

    /// A call of a client to one of the daemons. Writes it, and its answer, to the record.
    std::optional<response> client(std::size_t at, const std::string& method, const std::string& path, const std::string& key,
        const std::string& body = {}, bool isNoted = true)
    {
        request sent { .method = method, .target = path, .body = body };
        sent.headers["Host"] = "jobs.example";
        sent.headers["Authorization"] = "Bearer " + key;
        sent.headers["X-Dragonflyloft-Timeout-Ms"] = "3000";
        const auto got = call(daemons[at % daemons.size()]->front(), sent, 3000);
        if (isNoted)
            shared.log.add("client: " + method + ' ' + path + " with " + key + " at " + daemons[at % daemons.size()]->name()
                + ": " + (got ? std::to_string(got->status) + ' ' + got->body : std::string("no answer")));
        return got;
    }

    /// Hands a job in until it is accepted, at the next daemon each time.
    bool submit(const std::string& path, const std::string& key, const json& steps, const std::vector<step_facts>& facts,
        bool isNoted = true)
    {
        {
            const std::lock_guard lock(shared.mutex);
            shared.jobs[path.substr(path.size() - 16)] = facts;
        }
        const json body { { "spec", "spec of " + path }, { "steps", steps } };
        for (int attempt = 0; attempt < 6; ++attempt) {
            const auto got = client(static_cast<std::size_t>(attempt), "POST", path, key, body.dump(), isNoted);
            if (got && got->status == 200)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
        return false;
    }

    std::string stateOf(const std::string& path, const std::string& key, std::size_t at = 0, bool isNoted = true)
    {
        const auto got = client(at, "GET", path, key, {}, isNoted);
        if (!got)
            return "no answer";
        if (got->status != 200)
            return std::to_string(got->status);
        const auto body = json::parse(got->body, nullptr, false);
        return body.is_object() ? body.value("state", std::string("unreadable")) : "unreadable";
    }

    world shared;
    cloud machines;
    std::vector<std::unique_ptr<daemon>> daemons;

private:
    std::string m_folder;
};

inline bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

/// Ends the process without waiting for the threads of the stand-ins; the daemons are killed first.
[[noreturn]] inline void leave(deployment& all, int code, const std::string& why)
{
    all.shared.log.add(std::string(code == 0 ? "HELD: " : code == 1 ? "BROKEN: "
                                                                    : "NOT RUN: ")
        + why);
    std::cout << (code == 0 ? "held: " : code == 1 ? "broken: "
                                                   : "not run: ")
              << why << std::endl;
    all.close();
    std::_Exit(code);
}

}
