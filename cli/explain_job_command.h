#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// "explain job ID --traces FILE... [--slowest N] [--json]": shows from the span files of several processes
// where a job's time went. Returns exit_findings if a file is damaged or has no span of the job.
int run_explain_job(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
