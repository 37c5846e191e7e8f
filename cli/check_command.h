#pragma once

#include "cli/command.h"

namespace persimmonstile {

// check DIR [--json]: reports every finding of the declarations in a directory.
int run_check(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
