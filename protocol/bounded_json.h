#pragma once

#include <cstddef>
#include <limits>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace persimmonstile {

// A value takes up to 80 bytes of memory for 2 or 3 bytes of text. Requests within the documented limits have
// far fewer values.
constexpr std::size_t max_json_values = 100'000;
// For documents of operators and of the store, which grow with the deployment.
constexpr std::size_t any_number_of_json_values = std::numeric_limits<std::size_t>::max();

// Parses JSON from outside. Empty if the text is not JSON, nests deeper than the limit or has more values;
// many operations on JSON values are recursive, so a document of brackets alone could otherwise exhaust the
// stack.
std::optional<nlohmann::json> parse_bounded_json(std::string_view text,
                                                 std::size_t max_values = max_json_values);

} // namespace persimmonstile
