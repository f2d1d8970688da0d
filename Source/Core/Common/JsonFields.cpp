#include "Common/JsonFields.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Common {

namespace {

    bool isPlain(char character)
    {
        return character >= ' ' && character <= '~' && character != '"' && character != '\\';
    }

    /// Whole numbers below this are exact as a fraction, too.
    constexpr double exactLimit = 1e15;

    /// Empty for a number that would overflow. The conversion of one is undefined, or wraps.
    std::optional<std::int64_t> toInteger(const json& number)
    {
        if (number.is_number_float()) {
            const auto value = number.get<double>();
            return std::abs(value) <= exactLimit ? std::optional(static_cast<std::int64_t>(value)) : std::nullopt;
        }
        constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (number.is_number_unsigned() && number.get<std::uint64_t>() > most)
            return std::nullopt;
        return number.get<std::int64_t>();
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

std::int64_t integerField(const json& in, const char* name, std::int64_t absent, const number_range& range)
{
    const auto found = in.find(name);
    if (found == in.end())
        return absent;
    const auto value = toInteger(*found);
    if (!value || *value < range.least || *value > range.most)
        throw json::out_of_range::create(jsonOtherError, "number out of range", nullptr);
    return *value;
}

std::string textField(const json& in, const char* name)
{
    const auto found = in.is_object() ? in.find(name) : in.end();
    return found != in.end() && found->is_string() ? found->get<std::string>() : std::string();
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
