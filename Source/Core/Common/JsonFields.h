#pragma once

#include "Common/StrongType.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

/// JSON conversions of the strong types. For adapters and codecs only.
namespace Common {

using json = nlohmann::json;

/// Id of this project's exceptions among those of the JSON library.
constexpr int jsonOtherError = 501;

template <typename Tag>
void to_json(json& out, const text_id<Tag>& id) { out = id.value; }

template <typename Tag>
void from_json(const json& in, text_id<Tag>& id) { id.value = in.get<std::string>(); }

template <typename Tag>
void to_json(json& out, const quantity<Tag>& amount) { out = amount.value; }

template <typename Tag>
void from_json(const json& in, quantity<Tag>& amount) { amount.value = in.get<std::int64_t>(); }

/// Reads an enumeration written as a number. Throws a JSON exception above `last`.
template <typename Enum>
Enum enumFromJson(const json& in, Enum last)
{
    const auto number = in.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last))
        throw json::other_error::create(jsonOtherError, "enumeration out of range", nullptr);
    return static_cast<Enum>(number);
}

/// Maximum nesting depth of external input.
constexpr int maxJsonDepth = 16;

/// Parses external input. Empty when it isn't JSON or nests deeper than `maxJsonDepth`.
std::optional<json> parseJson(std::string_view text);

/// Parses a value of the given type. Empty when the text can't be parsed, or a field is missing or has
/// another type.
template <typename Value>
std::optional<Value> readJson(std::string_view text)
{
    const auto parsed = parseJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        return parsed->get<Value>();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

/// Smallest and largest valid value of a number.
struct number_range {
    std::int64_t least { 0 };
    std::int64_t most { 0 };
};

/// Reads an integer field of an object; `absent` when it is missing. Throws a JSON exception when the field isn't a
/// number or is out of range. A fraction is cut off.
std::int64_t integerField(const json&, const char* name, std::int64_t absent, const number_range&);

/// Reads a text field. Empty when the value isn't an object, or the field is missing or isn't text.
std::string textField(const json&, const char* name);

/// Writes JSON text; bytes that aren't UTF-8 are replaced.
std::string writeJson(const json&);

/// Appends the text as a JSON string; bytes that aren't UTF-8 are replaced.
void appendJsonString(std::string& out, std::string_view text);

}

namespace nlohmann {

/// An absent value is written as null.
template <typename Value>
struct adl_serializer<std::optional<Value>> {
    static void to_json(json& out, const std::optional<Value>& value)
    {
        if (value)
            out = *value;
        else
            out = nullptr;
    }
    static void from_json(const json& in, std::optional<Value>& value)
    {
        if (in.is_null())
            value.reset();
        else
            value = in.get<Value>();
    }
};

}
