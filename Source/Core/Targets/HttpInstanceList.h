#pragma once

#include "Common/Clock.h"
#include "Targets/InstanceList.h"

#include <memory>

namespace httplib {
class Client;
}

namespace Targets {

/// Fetches the list over HTTP: `GET /instances` answers a JSON array.
class http_instance_list final : public instance_list {
public:
    http_instance_list(const Common::endpoint&, Common::millis timeout);
    ~http_instance_list() override;

    std::optional<std::vector<listed_instance>> fetch() override;
    list_failure lastReason() const override { return m_lastReason; }

private:
    std::unique_ptr<httplib::Client> m_client;
    list_failure m_lastReason { list_failure::None };
};

}
