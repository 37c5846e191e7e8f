#pragma once

#include <string_view>

namespace persimmonstile {

// JSON schemas (draft 7) of the two declaration files. docs/schemas holds copies for editors; a test compares
// them. The schemas have no patterns: std::regex recurses once per character, and a long text in a stored
// document could exhaust the stack of a daemon.
std::string_view fleet_schema();
std::string_view exceptions_schema();

} // namespace persimmonstile
