#pragma once

#include "cli/command.h"

namespace persimmonstile {

// plan DIR --store URL --cell NAME: what applying the directory would change, and the revision to expect.
int run_plan(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
