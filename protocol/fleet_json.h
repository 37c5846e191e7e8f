#pragma once

#include "protocol/fleet_declarations.h"
#include "protocol/setting_value.h"

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

// JSON forms of checked declarations, in a fixed order.
nlohmann::json fleet_to_json(const fleet_declarations& declarations);
nlohmann::json exceptions_to_json(const fleet_declarations& declarations);
nlohmann::json setting_to_json(const setting_value& value);

// The value must be a boolean, a non-negative integer or an array of strings.
setting_value setting_from_json(const nlohmann::json& value);

} // namespace persimmonstile
