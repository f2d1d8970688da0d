#include "Standin.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace Standin {

namespace {

    struct writer_state {
        std::int64_t epoch { -1 };
        std::int64_t sequence { -1 };
        std::deque<std::pair<std::int64_t, json>> answers;
    };

    struct newest_record {
        std::string value;
        std::int64_t offset { 0 };
    };

    struct partition {
        std::vector<std::string> records;
        std::map<std::string, newest_record> newest;
        std::map<std::string, writer_state> writers;
    };

    /// When each member of a gang's run was last seen, and the checkpoint that it started with.
    struct gang_member {
        std::int64_t seenAt { 0 };
        std::string checkpoint;
    };

    struct gang_run {
        std::map<int, gang_member> members;
        bool hasFormed { false };
        bool isDone { false };
    };

    std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string out;
        for (int index = bytes - 1; index >= 0; --index)
            out.push_back(static_cast<char>((number >> (8 * index)) & 0xff));
        return out;
    }

    std::uint64_t readBigEndian(const std::string& in, std::size_t at, int bytes)
    {
        std::uint64_t number = 0;
        for (int index = 0; index < bytes; ++index)
            number = (number << 8) | static_cast<unsigned char>(in[at + static_cast<std::size_t>(index)]);
        return number;
    }

    struct platform_state {
        std::mutex lock;
        std::condition_variable changed;
        std::map<std::string, partition> partitions;
        std::map<std::string, json> machines;
        std::map<std::string, gang_run> gangs;
        /// Stores that don't answer: their instances are partitioned from the store.
        std::set<int> cut;

        void add(partition& to, const std::string& record, bool isKeyed)
        {
            const auto offset = static_cast<std::int64_t>(to.records.size());
            to.records.push_back(record);
            if (!isKeyed || record.empty())
                return;
            const auto keyLength = static_cast<unsigned char>(record[0]);
            const auto key = record.substr(1, keyLength);
            auto value = record.substr(1 + keyLength);
            if (value.empty())
                to.newest.erase(key);
            else
                to.newest[key] = { std::move(value), offset };
        }
    };

    bool isKeyed(const std::string& topic) { return topic.rfind("keyed.", 0) == 0; }

    void answer(httplib::Response& response, int status, const json& body)
    {
        response.status = status;
        response.set_content(body.dump(), "application/json");
    }

    std::vector<std::string> splitRecords(const std::string& body)
    {
        std::vector<std::string> records;
        std::size_t at = 0;
        while (at + 4 <= body.size()) {
            const auto length = readBigEndian(body, at, 4);
            records.push_back(body.substr(at + 4, length));
            at += 4 + length;
        }
        return records;
    }

    void append(platform_state& state, const httplib::Request& request, httplib::Response& response)
    {
        const auto topic = request.get_param_value("topic");
        if (topic == "keyed.op" || topic == "keyed.servers") {
            response.status = 403;
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
        const std::lock_guard guard(state.lock);
        auto& to = state.partitions[topic + '/' + request.get_param_value("part")];
        const auto end = static_cast<std::int64_t>(to.records.size());
        writer_state* writer = nullptr;
        std::int64_t epoch = 0;
        std::int64_t sequence = 0;
        if (request.has_param("producer")) {
            writer = &to.writers[request.get_param_value("producer")];
            epoch = std::stoll(request.get_param_value("epoch"));
            sequence = std::stoll(request.get_param_value("seq"));
            if (epoch < writer->epoch)
                return answer(response, 409, { { "reason", "fenced" } });
            if (epoch == writer->epoch) {
                for (const auto& [number, known] : writer->answers) {
                    if (number == sequence)
                        return answer(response, 200, known);
                }
                if (sequence != writer->sequence + 1)
                    return answer(response, 409, { { "reason", "seq" }, { "seq", writer->sequence + 1 } });
            }
        }
        if (request.has_param("asOf") && std::stoll(request.get_param_value("asOf")) != end)
            return answer(response, 412, { { "end", end } });
        for (const auto& record : splitRecords(request.body))
            state.add(to, record, isKeyed(topic));
        const json result { { "offset", end }, { "end", to.records.size() } };
        if (writer) {
            if (epoch != writer->epoch)
                writer->answers.clear();
            writer->epoch = epoch;
            writer->sequence = sequence;
            writer->answers.emplace_back(sequence, result);
            if (writer->answers.size() > 5)
                writer->answers.pop_front();
        }
        state.changed.notify_all();
        answer(response, 200, result);
    }

    void read(platform_state& state, const httplib::Request& request, httplib::Response& response)
    {
        const auto from = static_cast<std::size_t>(std::stoll(request.get_param_value("from")));
        const auto wait = request.has_param("waitMs") ? std::stoll(request.get_param_value("waitMs")) : 0;
        const auto most = (request.has_param("maxKb") ? std::stoull(request.get_param_value("maxKb")) : 1024) * 1024;
        std::unique_lock guard(state.lock);
        const auto& in = state.partitions[request.get_param_value("topic") + '/' + request.get_param_value("part")];
        state.changed.wait_for(guard, std::chrono::milliseconds(wait), [&] { return in.records.size() > from; });
        std::string body = bigEndian(in.records.size(), 8) + bigEndian(0, 8);
        const auto head = body.size();
        for (auto at = from; at < in.records.size(); ++at) {
            if (body.size() > head && body.size() + 4 + in.records[at].size() > most)
                break;
            body += bigEndian(in.records[at].size(), 4) + in.records[at];
        }
        response.status = 200;
        response.set_content(body, "application/octet-stream");
    }

    std::string base64(const std::string& in)
    {
        static constexpr auto digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < in.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index)
                group = (group << 8) | (at + index < in.size() ? static_cast<unsigned char>(in[at + index]) : 0);
            for (std::size_t index = 0; index < 4; ++index)
                out.push_back(at + index <= in.size() ? digits[(group >> (18 - 6 * index)) & 63] : '=');
        }
        return out;
    }

    void newest(platform_state& state, const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard guard(state.lock);
        const auto& in = state.partitions[request.get_param_value("topic") + '/' + request.get_param_value("part")];
        auto items = json::array();
        bool hasMore = false;
        auto next = request.has_param("dependsOn") ? in.newest.upper_bound(request.get_param_value("dependsOn"))
                                                   : in.newest.begin();
        for (; next != in.newest.end(); ++next) {
            if (items.size() == 500) {
                hasMore = true;
                break;
            }
            items.push_back({ { "key", next->first }, { "value", base64(next->second.value) }, { "offset", next->second.offset } });
        }
        answer(response, 200, { { "items", items }, { "more", hasMore }, { "end", in.records.size() } });
    }

    /// The members of a gang's run work from the moment when all are there with one checkpoint.
    void meet(platform_state& state, const httplib::Request& request, httplib::Response& response)
    {
        constexpr std::int64_t goneAfterMs = 400;
        const auto in = json::parse(request.body);
        const std::lock_guard guard(state.lock);
        auto& gang = state.gangs[in.at("step").get<std::string>() + '/' + std::to_string(in.at("run").get<std::int64_t>())];
        const auto now = steadyMs();
        gang.isDone = gang.isDone || in.value("done", false);
        gang.members[in.at("index").get<int>()] = { .seenAt = now, .checkpoint = in.at("checkpoint").get<std::string>() };
        int present = 0;
        bool isSame = true;
        for (const auto& [index, member] : gang.members) {
            present += now - member.seenAt <= goneAfterMs ? 1 : 0;
            isSame = isSame && member.checkpoint == gang.members.begin()->second.checkpoint;
        }
        const bool isWhole = present == in.at("count").get<int>() && isSame;
        gang.hasFormed = gang.hasFormed || isWhole;
        answer(response, 200,
            { { "works", gang.hasFormed && isWhole }, { "broken", gang.hasFormed && !isWhole && !gang.isDone },
                { "done", gang.isDone } });
    }

    void addControl(httplib::Server& server, platform_state& state)
    {
        // What the operator and the workers write.
        server.Post("/stand-in/put", [&state](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard guard(state.lock);
            const auto topic = request.get_param_value("topic");
            const auto key = request.get_param_value("key");
            state.add(state.partitions[topic + "/0"], bigEndian(key.size(), 1) + key + request.body, true);
            state.changed.notify_all();
            response.status = 200;
        });
        server.Post("/stand-in/machine", [&state](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard guard(state.lock);
            const auto in = json::parse(request.body);
            state.machines[in.at("machine").get<std::string>()] = in;
            response.status = 200;
        });
        server.Post("/stand-in/meet", [&state](const auto& request, auto& response) { meet(state, request, response); });
    }

    void addManager(httplib::Server& server, platform_state& state)
    {
        server.Post("/stand-in/cut", [&state](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard guard(state.lock);
            const auto store = std::stoi(request.get_param_value("store"));
            if (request.get_param_value("cut") == "1")
                state.cut.insert(store);
            else
                state.cut.erase(store);
            state.changed.notify_all();
            response.status = 200;
        });
        server.Get("/api/machines", [&state](const httplib::Request&, httplib::Response& response) {
            const std::lock_guard guard(state.lock);
            auto machines = json::array();
            for (const auto& [id, machine] : state.machines)
                machines.push_back(machine);
            answer(response, 200, { { "machines", machines }, { "nextToken", nullptr } });
        });
        const auto refuse = [](const httplib::Request&, httplib::Response& response) {
            answer(response, 409, { { "reason", "busy" } });
        };
        server.Post("/api/machine-move", refuse);
        server.Post("/api/machine-upkeep", refuse);
    }

    /// A call to a store that is cut has no answer and does nothing.
    void addStore(httplib::Server& server, platform_state& state, int number)
    {
        using handler = void (*)(platform_state&, const httplib::Request&, httplib::Response&);
        const auto guarded = [&state, number](handler action) {
            return [&state, number, action](const httplib::Request& request, httplib::Response& response) {
                constexpr int lostMs = 2500;
                const auto isCut = [&state, number] {
                    const std::lock_guard guard(state.lock);
                    return state.cut.count(number) > 0;
                };
                if (isCut())
                    std::this_thread::sleep_for(std::chrono::milliseconds(lostMs));
                else
                    action(state, request, response);
                // Also the answer to a call that was under way is lost.
                if (isCut())
                    response.status = 503;
            };
        };
        useManyThreads(server);
        server.Post("/api/log-append", guarded(append));
        server.Get("/api/log-read", guarded(read));
        server.Get("/api/log-newest", guarded(newest));
        addControl(server, state);
    }

}

int runPlatform(const arguments& given)
{
    platform_state state;
    httplib::Server manager;
    useManyThreads(manager);
    addManager(manager, state);
    std::vector<std::unique_ptr<httplib::Server>> stores;
    std::vector<std::thread> threads;
    for (int number = 0; given.count("store" + std::to_string(number)) > 0; ++number) {
        stores.push_back(std::make_unique<httplib::Server>());
        addStore(*stores.back(), state, number);
        const auto port = std::stoi(given.at("store" + std::to_string(number)));
        threads.emplace_back([server = stores.back().get(), port] { server->listen("127.0.0.1", port); });
    }
    const bool hasListened = manager.listen("127.0.0.1", std::stoi(given.at("manager")));
    for (auto& thread : threads)
        thread.join();
    return hasListened ? 0 : 2;
}

}
