#include "protocol/json_integer.h"

#include <cmath>
#include <optional>

namespace persimmonstile {

namespace {

using nlohmann::json;

// Rounded, the limit of std::int64_t is one above it.
constexpr double integer_limit = 9223372036854775808.0;

std::optional<std::int64_t> whole_number(const json& value) {
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(INT64_MAX))
            return std::nullopt;
        return static_cast<std::int64_t>(number);
    }
    if (value.is_number_integer())
        return value.get<std::int64_t>();
    if (!value.is_number_float())
        return std::nullopt;
    const auto number = value.get<double>();
    if (!(number >= -integer_limit && number < integer_limit) || std::trunc(number) != number)
        return std::nullopt;
    return static_cast<std::int64_t>(number);
}

} // namespace

std::int64_t json_integer(const json& value, std::int64_t min, std::int64_t max) {
    constexpr int out_of_range_id = 406;
    const std::optional<std::int64_t> number = whole_number(value);
    if (!number || *number < min || *number > max)
        throw json::out_of_range::create(
            out_of_range_id,
            "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max), &value);
    return *number;
}

std::int64_t json_integer_or(const json& object, const char* name, std::int64_t default_value,
                             std::int64_t min, std::int64_t max) {
    const auto found = object.find(name);
    return found == object.end() ? default_value : json_integer(*found, min, max);
}

} // namespace persimmonstile
