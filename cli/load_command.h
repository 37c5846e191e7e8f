#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// `persimmonstile load`: sends a workload to entries at its planned times and reports response times against
// the ideal. Returns exit_findings if an answer does not fit its call or no call was complete.
int run_load(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
