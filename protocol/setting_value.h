#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace persimmonstile {

// Value of one setting of a service, team or zone. Times are in milliseconds.
using setting_value = std::variant<bool, std::uint64_t, std::set<std::string>>;

} // namespace persimmonstile
