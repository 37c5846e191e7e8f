#pragma once

#include "protocol/effective_setting.h"
#include "protocol/fleet_declarations.h"
#include "state/fleet_view.h"

#include <string>
#include <vector>

namespace persimmonstile {

// Names of the settings that exist for a kind of scope. The schema has the same ones.
std::vector<std::string> setting_names(scope_kind kind);

// Value of a setting that nobody declared. The name must be one of setting_names(kind).
setting_value builtin_setting(scope_kind kind, const std::string& name);

// Every setting of the scope, whether the scope is declared or not.
std::vector<effective_setting> effective_settings(const fleet_declarations& declarations,
                                                  const config_scope& scope);

// The form that the decisions use.
fleet_view effective_view(const fleet_declarations& declarations, config_revision revision);

} // namespace persimmonstile
