#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Common {

/// IPv4 address and TCP port of a listener.
struct endpoint {
    std::string host;
    std::uint16_t port { 0 };

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "IP:PORT". Empty when the text isn't a numeric IPv4 address with a port.
std::optional<endpoint> parseEndpoint(std::string_view text);

/// Formats as "IP:PORT".
std::string toText(const endpoint&);

}
