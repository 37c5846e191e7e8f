#pragma once

#include "cli/command.h"

#include <string>
#include <vector>

namespace persimmonstile {

// "report load --logs FILE... [--json]": from log files of several processes, how many jobs ended how, by
// queue, size, entry and availability zone, and the capacity that was idle while tasks waited, spent outside
// the rack of the data, or spent on runs without a result. Returns exit_findings if a file is damaged or has
// no line about a job.
int run_report_load(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
