#pragma once

#include "cli/command.h"

namespace persimmonstile {

// `persimmonstile local`: runs a whole deployment in this process until SIGINT or SIGTERM and prints the URLs
// of its entries.
int run_local(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
