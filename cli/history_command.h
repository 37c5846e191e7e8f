#pragma once

#include "cli/command.h"

namespace persimmonstile {

// history --store URL --cell NAME [--limit N]: changes, newest first, and how far back they reach.
int run_history(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
