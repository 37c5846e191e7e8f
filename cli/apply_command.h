#pragma once

#include "cli/command.h"

namespace persimmonstile {

// apply DIR --store URL --cell NAME --reason TEXT --author NAME [--expect REVISION] [--wait --entry URL,...]:
// makes the declarations of a directory, or of an earlier revision, the next revision.
int run_apply(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
