#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// `persimmonstile submit`: submits one job and waits for its outcome. Returns exit_done for a complete job
// and exit_findings for a failed or refused one, for an unreachable entry and for an outcome that does not
// fit the job.
int run_submit(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
