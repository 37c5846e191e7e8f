#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// "explain request ID --logs FILE... [--json]": prints what the processes decided about one request, in the
// order of their clocks, from log files of several processes. Returns exit_findings if a file is damaged or
// no line is about the request.
int run_explain_request(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
