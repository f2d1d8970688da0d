#include "Store.h"

#include <array>
#include <nlohmann/json.hpp>
#include <sodium.h>

using nlohmann::json;

namespace {

constexpr auto appendTime = std::chrono::milliseconds(3);
constexpr std::size_t serverThreads = 96;
constexpr std::size_t recordsPerPage = 500;
constexpr std::size_t rememberedAppends = 5;

std::int64_t numberOf(const httplib::Request& request, const char* name, std::int64_t absent = 0)
{
    return request.has_param(name) ? std::atoll(request.get_param_value(name).c_str()) : absent;
}

std::uint64_t readBigEndian(const std::string& bytes, std::size_t at, std::size_t count)
{
    std::uint64_t number = 0;
    for (std::size_t index = 0; index < count; ++index)
        number = (number << 8U) | static_cast<unsigned char>(bytes.at(at + index));
    return number;
}

void writeBigEndian(std::string& out, std::uint64_t number, int count)
{
    for (int index = count - 1; index >= 0; --index)
        out.push_back(static_cast<char>((number >> (8U * static_cast<unsigned>(index))) & 0xffU));
}

std::string toBase64(const std::string& bytes)
{
    std::string out(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    out.resize(std::strlen(out.c_str()));
    return out;
}

void answer(httplib::Response& response, int status, const json& body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

}

void prepareServer(httplib::Server& server, std::size_t threads)
{
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_keep_alive_max_count(10'000'000);
    server.set_keep_alive_timeout(120);
    server.set_tcp_nodelay(true);
}

store_standin::store_standin()
{
    prepareServer(m_server, serverThreads);
    m_server.Post("/api/log-append", [this](const auto& request, auto& response) { onAppend(request, response); });
    m_server.Get("/api/log-read", [this](const auto& request, auto& response) { onRead(request, response); });
    m_server.Get("/api/log-newest", [this](const auto& request, auto& response) { onNewest(request, response); });
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

store_standin::~store_standin() { stop(); }

void store_standin::stop()
{
    {
        const std::lock_guard lock(m_lock);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void store_standin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_lock);
    add(m_partitions[topic + "/0"], { key, value });
    m_changed.notify_all();
}

std::size_t store_standin::multiplyJobs(const std::vector<std::string>& ids, int count)
{
    const std::lock_guard lock(m_lock);
    std::size_t bytes = 0;
    for (auto& [name, where] : m_partitions) {
        std::vector<std::pair<std::string, record>> found;
        for (const auto& id : ids) {
            const auto known = where.newest.find(id);
            if (known != where.newest.end())
                found.emplace_back(id, where.records[static_cast<std::size_t>(known->second)]);
        }
        for (int copy = 0; copy < count / static_cast<int>(ids.size()); ++copy) {
            for (const auto& [id, original] : found) {
                std::array<char, 17> text {};
                std::snprintf(text.data(), text.size(), "%08x%s", 0x10000000U + static_cast<unsigned>(copy), id.substr(8).c_str());
                auto value = original.value;
                for (auto at = value.find(id); at != std::string::npos; at = value.find(id, at + id.size()))
                    value.replace(at, id.size(), text.data());
                add(where, { text.data(), std::move(value) });
            }
        }
        for (const auto& [key, offset] : where.newest)
            bytes += key.size() + where.records[static_cast<std::size_t>(offset)].value.size() + 5;
    }
    m_changed.notify_all();
    return bytes;
}

store_standin::partition& store_standin::partitionOf(const httplib::Request& request)
{
    return m_partitions[request.get_param_value("topic") + "/" + request.get_param_value("part")];
}

void store_standin::add(partition& where, record added)
{
    const auto offset = static_cast<std::int64_t>(where.records.size());
    if (added.value.empty())
        where.newest.erase(added.key);
    else
        where.newest[added.key] = offset;
    where.records.push_back(std::move(added));
}

void store_standin::onAppend(const httplib::Request& request, httplib::Response& response)
{
    std::this_thread::sleep_for(appendTime);
    const std::lock_guard lock(m_lock);
    auto& where = partitionOf(request);
    producer_state* producer = nullptr;
    const auto epoch = numberOf(request, "epoch");
    const auto sequence = numberOf(request, "seq");
    if (request.has_param("producer")) {
        const auto name = request.get_param_value("producer");
        const auto known = where.producers.find(name);
        producer = &where.producers[name];
        if (known == where.producers.end())
            *producer = { .epoch = epoch, .next = sequence, .last = {} };
        if (epoch < producer->epoch) {
            answer(response, 409, { { "reason", "fenced" } });
            return;
        }
        for (const auto& earlier : producer->last) {
            if (epoch == producer->epoch && earlier.sequence == sequence) {
                response.set_content(earlier.answer, "application/json");
                return;
            }
        }
        if (epoch == producer->epoch && sequence != producer->next) {
            answer(response, 409, { { "reason", "seq" }, { "seq", producer->next } });
            return;
        }
    }
    const auto end = static_cast<std::int64_t>(where.records.size());
    if (request.has_param("asOf") && numberOf(request, "asOf") != end) {
        answer(response, 412, { { "end", end } });
        return;
    }
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        const auto length = readBigEndian(request.body, at, 4);
        const auto keyLength = readBigEndian(request.body, at + 4, 1);
        add(where, { request.body.substr(at + 5, keyLength), request.body.substr(at + 5 + keyLength, length - 1 - keyLength) });
        at += 4 + length;
    }
    const json body { { "offset", end }, { "end", where.records.size() } };
    if (producer) {
        if (epoch > producer->epoch)
            producer->last.clear();
        producer->epoch = epoch;
        producer->next = sequence + 1;
        producer->last.push_back({ sequence, body.dump() });
        if (producer->last.size() > rememberedAppends)
            producer->last.pop_front();
    }
    response.set_content(body.dump(), "application/json");
    m_changed.notify_all();
}

void store_standin::onRead(const httplib::Request& request, httplib::Response& response)
{
    const auto from = static_cast<std::size_t>(numberOf(request, "from"));
    const auto most = static_cast<std::size_t>(numberOf(request, "maxKb", 1024)) * 1024;
    std::unique_lock lock(m_lock);
    auto& where = partitionOf(request);
    m_changed.wait_for(lock, std::chrono::milliseconds(numberOf(request, "waitMs")),
        [&] { return m_isStopping || where.records.size() > from; });
    std::string body;
    writeBigEndian(body, where.records.size(), 8);
    writeBigEndian(body, 0, 8);
    for (auto index = from; index < where.records.size(); ++index) {
        const auto& next = where.records[index];
        if (body.size() + 5 + next.key.size() + next.value.size() > most)
            break;
        writeBigEndian(body, 1 + next.key.size() + next.value.size(), 4);
        writeBigEndian(body, next.key.size(), 1);
        body += next.key;
        body += next.value;
    }
    response.set_content(body, "application/octet-stream");
}

void store_standin::onNewest(const httplib::Request& request, httplib::Response& response)
{
    const std::lock_guard lock(m_lock);
    auto& where = partitionOf(request);
    json items = json::array();
    auto next = request.has_param("dependsOn") ? where.newest.upper_bound(request.get_param_value("dependsOn"))
                                               : where.newest.begin();
    for (; next != where.newest.end() && items.size() < recordsPerPage; ++next) {
        const auto& newest = where.records[static_cast<std::size_t>(next->second)];
        items.push_back({ { "key", newest.key }, { "value", toBase64(newest.value) }, { "offset", next->second } });
    }
    answer(response, 200, { { "items", items }, { "more", next != where.newest.end() }, { "end", where.records.size() } });
}
