#pragma once

#include <string>

namespace Client {

/// Formats a JSON array of flat objects as a table with a header line. Other JSON is indented.
std::string toTable(const std::string& json);

}
