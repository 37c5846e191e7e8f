#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// "status --entry URL... [--json]": one line for each entry with its revision, owner table, agents and load.
// Returns exit_findings if an entry does not answer or answers something else.
int run_status(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
