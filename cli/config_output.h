#pragma once

#include "cli/command.h"
#include "coordination/store_results.h"
#include "protocol/config_finding.h"
#include "protocol/declaration_change.h"
#include "protocol/fleet_document.h"

#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace persimmonstile {

// Each prints for people or as JSON and returns the exit code that goes with it.
int print_findings(const config_findings& findings, bool as_json, command_output output);
int print_unavailable(const store_unavailable& error, bool as_json, command_output output);

// One line for each change: "+ path value", "- path value" or "~ path before -> after".
void print_changes(const std::vector<declaration_change>& changes, std::ostream& out);
void print_scopes(const std::set<config_scope>& scopes, std::ostream& out);
// "revision 7 at 2026-12-04T03:08:31.000Z by asha: reason", and the changes below it.
void print_record(const change_record& record, std::ostream& out);

nlohmann::json to_json(const std::vector<declaration_change>& changes);
nlohmann::json to_json(const std::set<config_scope>& scopes);
nlohmann::json to_json(const change_record& record);

// Prints the value and the end of the line. Texts that are not UTF-8 are replaced.
void print_json(const nlohmann::json& value, std::ostream& out);

} // namespace persimmonstile
