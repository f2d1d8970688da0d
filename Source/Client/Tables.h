#pragma once

#include <string>

namespace Client {

/// Lays out a JSON array of flat objects as a table with a head line. Other JSON is indented.
std::string toTable(const std::string& json);

}
