#include "Common/TomlCheck.h"

#include <algorithm>

namespace Common {

namespace {

    bool isNonAscii(char character)
    {
        return static_cast<unsigned char>(character) >= 0x80;
    }

    bool isControl(char character)
    {
        const auto code = static_cast<unsigned char>(character);
        constexpr unsigned char deleteCode = 0x7F;
        return (code < ' ' && character != '\t' && character != '\r') || code == deleteCode;
    }

    /// Whether the line begins a table header whose brackets aren't followed by the beginning of a key.
    bool hasBadHeader(std::string_view line)
    {
        constexpr std::string_view keyCharacters
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-\"'";
        const auto bracket = line.find_first_not_of(" \t");
        if (bracket == std::string_view::npos || line[bracket] != '[')
            return false;
        const auto key = line.find_first_not_of("[ \t", bracket);
        return key == std::string_view::npos || keyCharacters.find(line[key]) == std::string_view::npos;
    }

    bool isComment(std::string_view line)
    {
        const auto first = line.find_first_not_of(" \t");
        return first != std::string_view::npos && line[first] == '#';
    }

}

std::optional<int> firstUnsafeTomlLine(std::string_view text)
{
    int number = 1;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        const bool hasNonAscii = !isComment(line) && std::ranges::any_of(line, isNonAscii);
        if (hasNonAscii || hasBadHeader(line) || std::ranges::any_of(line, isControl))
            return number;
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
    }
    return std::nullopt;
}

}
