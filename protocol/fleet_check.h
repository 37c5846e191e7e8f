#pragma once

#include "protocol/config_finding.h"
#include "protocol/fleet_declarations.h"
#include "state/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

constexpr std::string_view fleet_file_name = "fleet.json";
constexpr std::string_view exceptions_file_name = "exceptions.json";

// Where declarations come from, for the locations in findings.
struct declaration_location {
    std::string file;
    std::string pointer;
};

using fleet_check_result = std::variant<fleet_declarations, config_findings>;

// Checks the texts of the two files and reports every finding of both. Without a time, expiry dates are not
// checked: every process must come to the same verdict on a stored document, whatever its clock says.
fleet_check_result check_fleet(std::string_view fleet, std::string_view exceptions,
                               const std::optional<wall_time>& now);

// The same for parsed documents that are part of another one.
fleet_check_result check_fleet(const nlohmann::json& fleet, const declaration_location& fleet_location,
                               const nlohmann::json& exceptions,
                               const declaration_location& exceptions_location,
                               const std::optional<wall_time>& now);

} // namespace persimmonstile
