#pragma once

#include "cli/command.h"

namespace persimmonstile {

// `persimmonstile replay FILE`: repeats the decisions of an entry from its recorded events. Prints the
// outcome of each job; exit_findings if a decision differs from the recorded one, an outcome differs from
// --expect, or a line is malformed.
int run_replay(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
