#pragma once

#include "cli/command.h"

namespace persimmonstile {

// zone out|in NAME --store URL --cell NAME --reason TEXT [--author NAME] [--wait --entry URL,...]: takes an
// availability zone out of service or brings it back.
int run_zone(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
