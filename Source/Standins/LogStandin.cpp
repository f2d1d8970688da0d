#include "Standins/LogStandin.h"

#include "Common/JsonFields.h"

#include <algorithm>

namespace Standins {

namespace {

    using Common::json;

    constexpr int httpTooManyRequests = 429;
    constexpr std::size_t threads = 96;
    /// A delay of this length stands for a lost answer.
    constexpr Common::millis lostAnswerDelay { 3000 };

    std::int64_t numberOf(const httplib::Request& request, const char* name)
    {
        return request.has_param(name) ? std::atoll(request.get_param_value(name).c_str()) : 0;
    }

}

log_standin::log_standin(const Common::endpoint& address)
    : m_server(address, threads)
{
    m_server.routes().Post(
        "/append", [this](const httplib::Request& request, httplib::Response& response) { onAppend(request, response); });
    m_server.routes().Get(
        "/read", [this](const httplib::Request& request, httplib::Response& response) { onRead(request, response); });
}

log_standin::~log_standin()
{
    {
        const std::lock_guard lock(m_lock);
        m_stopping = true;
    }
    m_appended.notify_all();
    m_server.stop();
}

std::int64_t log_standin::end()
{
    const std::lock_guard lock(m_lock);
    return m_first + static_cast<std::int64_t>(m_records.size());
}

bool log_standin::isOverRate()
{
    const auto second = Common::wallNow().value / 1000;
    if (second != m_second) {
        m_second = second;
        m_appendsInSecond = 0;
    }
    return ++m_appendsInSecond > maxAppendsPerSecond;
}

void log_standin::onAppend(const httplib::Request& request, httplib::Response& response)
{
    if (const auto slow = faults().value("slow"); slow > 0)
        std::this_thread::sleep_for(Common::millis(slow));
    std::int64_t offset = 0;
    {
        const std::lock_guard lock(m_lock);
        if (isOverRate()) {
            response.status = httpTooManyRequests;
            return;
        }
        offset = m_first + static_cast<std::int64_t>(m_records.size());
        m_records.push_back(request.body);
        const auto keep = faults().value("keep");
        while (keep > 0 && m_records.size() > static_cast<std::size_t>(keep)) {
            m_records.pop_front();
            ++m_first;
        }
    }
    m_appended.notify_all();
    if (faults().consume("loseAnswers"))
        std::this_thread::sleep_for(lostAnswerDelay);
    response.set_content(json { { "offset", offset } }.dump(), "application/json");
}

void log_standin::onRead(const httplib::Request& request, httplib::Response& response)
{
    const auto wait = Common::millis(numberOf(request, "waitMs"));
    std::unique_lock lock(m_lock);
    const std::int64_t from = std::max(numberOf(request, "from"), m_first);
    const auto endOfLog = [this] { return m_first + static_cast<std::int64_t>(m_records.size()); };
    m_appended.wait_for(lock, wait, [&] { return m_stopping || endOfLog() > from || faults().isOn("down"); });
    json records = json::array();
    for (std::int64_t offset = std::max(from, m_first); offset < endOfLog() && records.size() < maxRecordsPerRead; ++offset)
        records.push_back(m_records[static_cast<std::size_t>(offset - m_first)]);
    const json body { { "first", m_first }, { "from", std::max(from, m_first) }, { "end", endOfLog() }, { "records", records } };
    response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

}
