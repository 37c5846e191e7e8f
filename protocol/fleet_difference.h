#pragma once

#include "protocol/config_scope.h"
#include "protocol/declaration_change.h"
#include "protocol/fleet_declarations.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Declarations by path (see declaration_change) as JSON texts. Two sets of declarations are equal exactly if
// their forms are.
using flat_declarations = std::map<std::string, std::string>;

flat_declarations flatten(const fleet_declarations& declarations);

// The inverse of flatten. The argument must come from it.
fleet_declarations unflatten(const flat_declarations& flat);

// What turns one set into the other, ordered by path, without origins.
std::vector<declaration_change> difference(const flat_declarations& before, const flat_declarations& after);

// The services, teams and zones whose effective settings or existence the changes touch. A change of a
// default touches all services or teams.
std::set<config_scope> affected_scopes(const std::vector<declaration_change>& changes,
                                       const fleet_declarations& before, const fleet_declarations& after);

std::string default_path(scope_kind kind, const std::string& setting);
std::string exception_path(const config_scope& scope, const std::string& setting);

} // namespace persimmonstile
