#pragma once

#include "Common/Endpoint.h"
#include "PlatformLog/LogService.h"

#include <memory>

namespace httplib {
class Client;
}

namespace PlatformLog {

/// Client of the platform's log over HTTP:
/// `POST /append` with the record as body answers `{"offset":N}`;
/// `GET /read?from=N&waitMs=W` answers `{"first":N,"end":N,"records":["..."]}`.
class http_log_service final : public log_service {
public:
    http_log_service(const Common::endpoint&, Common::millis timeout);
    ~http_log_service() override;

    std::optional<Common::log_offset> append(const std::string& record) override;
    std::optional<log_page> read(Common::log_offset from, Common::millis wait) override;
    log_failure lastReason() const override { return m_lastReason; }

private:
    std::unique_ptr<httplib::Client> m_client;
    Common::millis m_timeout;
    log_failure m_lastReason { log_failure::None };
};

}
