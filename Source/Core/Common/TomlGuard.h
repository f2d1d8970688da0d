#pragma once

#include <optional>
#include <string_view>

namespace Common {

/// Line, counted from 1, of the first thing that the TOML library must not see, since its behaviour
/// isn't defined for it: a control character, a character beyond ASCII outside of a line of comment
/// ("#"), or a table header that doesn't begin with a key. Empty when there is none.
std::optional<int> firstUnsafeTomlLine(std::string_view text);

}
