#include "PlatformLog/HttpLogService.h"

#include "Common/JsonFields.h"

#include <httplib.h>

namespace PlatformLog {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpTooManyRequests = 429;
    constexpr int httpServiceUnavailable = 503;

    struct append_answer {
        Common::log_offset offset;
    };

    void from_json(const Common::json& in, append_answer& answer)
    {
        in.at("offset").get_to(answer.offset);
    }

    struct read_answer {
        Common::log_offset first;
        Common::log_offset from;
        Common::log_offset end;
        std::vector<std::string> records;
    };

    void from_json(const Common::json& in, read_answer& answer)
    {
        in.at("first").get_to(answer.first);
        in.at("from").get_to(answer.from);
        in.at("end").get_to(answer.end);
        in.at("records").get_to(answer.records);
    }

    log_failure failureOf(int status)
    {
        if (status == httpTooManyRequests)
            return log_failure::Throttled;
        return status == httpServiceUnavailable ? log_failure::NotAppended : log_failure::MaybeAppended;
    }

    log_page toPage(read_answer answer)
    {
        log_page page { .firstKept = answer.first, .end = answer.end };
        for (std::string& text : answer.records) {
            page.records.push_back({ .offset = answer.from, .text = std::move(text) });
            answer.from += { 1 };
        }
        return page;
    }

}

http_log_service::http_log_service(const Common::endpoint& address, Common::millis timeout)
    : m_client(std::make_unique<httplib::Client>(address.host, address.port))
    , m_timeout(timeout)
{
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(timeout);
    m_client->set_write_timeout(timeout);
}

http_log_service::~http_log_service() = default;

std::optional<Common::log_offset> http_log_service::append(const std::string& record)
{
    m_client->set_read_timeout(m_timeout);
    const auto response = m_client->Post("/append", record, "text/plain");
    if (!response) {
        const bool unsent = response.error() == httplib::Error::Connection;
        m_lastReason = unsent ? log_failure::NotAppended : log_failure::MaybeAppended;
        return std::nullopt;
    }
    if (response->status != httpOk) {
        m_lastReason = failureOf(response->status);
        return std::nullopt;
    }
    const auto answer = Common::readJson<append_answer>(response->body);
    m_lastReason = answer ? log_failure::None : log_failure::MaybeAppended;
    return answer ? std::optional(answer->offset) : std::nullopt;
}

std::optional<log_page> http_log_service::read(Common::log_offset from, Common::millis wait)
{
    m_client->set_read_timeout(m_timeout + wait);
    const auto path = "/read?from=" + std::to_string(from.value) + "&waitMs=" + std::to_string(wait.count());
    const auto response = m_client->Get(path.c_str());
    m_lastReason = log_failure::NoAnswer;
    if (!response || response->status != httpOk)
        return std::nullopt;
    auto answer = Common::readJson<read_answer>(response->body);
    if (!answer)
        return std::nullopt;
    m_lastReason = log_failure::None;
    return toPage(std::move(*answer));
}

}
