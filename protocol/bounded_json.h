#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace persimmonstile {

// Parses JSON from outside. Empty if the text is not JSON or nests deeper than the limit; many operations on
// JSON values are recursive, so a document of brackets alone could otherwise exhaust the stack.
std::optional<nlohmann::json> parse_bounded_json(std::string_view text);

} // namespace persimmonstile
