#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// `persimmonstile standin backend`: runs a backend server stand-in until SIGTERM or SIGINT, then announces
// that it leaves, finishes its requests in progress and returns.
int run_standin_backend(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
