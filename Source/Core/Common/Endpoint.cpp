#include "Common/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace Common {

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    endpoint result { .host = std::string(text.substr(0, colon)) };
    in_addr address {};
    if (inet_pton(AF_INET, result.host.c_str(), &address) != 1)
        return std::nullopt;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, result.port);
    if (error != std::errc() || end != last)
        return std::nullopt;
    return result;
}

std::string toText(const endpoint& value)
{
    return value.host + ":" + std::to_string(value.port);
}

}
