#include "Common/JsonFields.h"

namespace Common {

std::optional<json> parseJson(std::string_view text)
{
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, json::parse_event_t, json&) {
        tooDeep = tooDeep || depth > maxJsonDepth;
        return !tooDeep;
    };
    json parsed = json::parse(text, limitDepth, false);
    if (tooDeep || parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

std::string writeJson(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
