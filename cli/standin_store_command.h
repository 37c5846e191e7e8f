#pragma once

#include "cli/command.h"

namespace persimmonstile {

// standin store [--port N]: runs the store stand-in until SIGTERM or SIGINT. Prints its URL when it is ready.
int run_standin_store(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
