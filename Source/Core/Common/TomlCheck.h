#pragma once

#include <optional>
#include <string_view>

namespace Common {

/// Number of the first line, counted from 1, that must not be passed to the TOML library because the
/// library's behaviour is undefined for it: a line with a control character, with a non-ASCII
/// character outside of a comment line ("#"), or with a table header that doesn't begin with a key.
/// Empty when there is none.
std::optional<int> firstUnsafeTomlLine(std::string_view text);

}
