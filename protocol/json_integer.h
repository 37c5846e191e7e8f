#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

namespace persimmonstile {

// Largest whole number that every JSON implementation represents exactly.
constexpr std::int64_t max_json_integer = (std::int64_t{1} << 53) - 1;

// The value as a whole number from min to max. Throws nlohmann::json::out_of_range if it is none; the
// library's own conversions wrap, truncate or are undefined then.
std::int64_t json_integer(const nlohmann::json& value, std::int64_t min, std::int64_t max);

// The same for a member of an object, or the default if there is no such member.
std::int64_t json_integer_or(const nlohmann::json& object, const char* name, std::int64_t default_value,
                             std::int64_t min, std::int64_t max);

} // namespace persimmonstile
