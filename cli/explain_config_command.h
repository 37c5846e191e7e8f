#pragma once

#include "cli/command.h"

namespace persimmonstile {

// explain service|zone|team NAME [SETTING] --store URL --cell NAME [--revision N]: each effective value and
// where it comes from. args start with the kind.
int run_explain_config(const std::vector<std::string>& args, command_output output);

} // namespace persimmonstile
