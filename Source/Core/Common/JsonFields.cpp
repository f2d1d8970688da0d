#include "Common/JsonFields.h"

#include <algorithm>

namespace Common {

namespace {

    bool isPlain(char character)
    {
        return character >= ' ' && character <= '~' && character != '"' && character != '\\';
    }

}

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

void appendJsonString(std::string& out, std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), isPlain)) {
        out += writeJson(text);
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

}
