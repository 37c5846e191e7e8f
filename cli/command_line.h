#pragma once

#include "cli/command.h"

#include <span>
#include <string>
#include <vector>

namespace persimmonstile {

// Runs the command that the words after the program name ask for and returns its exit code. Without words,
// and for an unknown command, the usage goes to output.err and the code is exit_usage. An exception that a
// command lets through is reported and gives exit_findings.
int run_command_line(std::span<const command> commands, const std::vector<std::string>& words,
                     command_output output);

} // namespace persimmonstile
