#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <optional>
#include <string>

namespace Client {

enum class call_failure {
    None,
    /// The connection failed; nothing was sent.
    NotReached,
    /// The request was sent but not answered; a change may have taken effect.
    NoAnswer
};

struct call_answer {
    int status { 0 };
    std::string body;
};

/// HTTP client for one listener of a daemon. Calls return empty if no answer came; lastReason() then says why.
class daemon_client {
public:
    daemon_client(Common::endpoint address, std::string key)
        : m_address(std::move(address))
        , m_key(std::move(key))
    {
    }

    std::optional<call_answer> get(const std::string& path);
    std::optional<call_answer> post(const std::string& path, const std::string& body, Common::millis timeout);
    call_failure lastReason() const { return m_lastReason; }

private:
    Common::endpoint m_address;
    std::string m_key;
    call_failure m_lastReason { call_failure::None };
};

}
