#pragma once

#include "cli/config_store.h"
#include "cli/parsed_arguments.h"
#include "protocol/fleet_check.h"
#include "state/time.h"

#include <optional>
#include <string>

namespace persimmonstile {

// Adds --rollback.
void add_target_options(cxxopts::Options& options);

// The declarations that plan and apply are about: those of the directory, or with --rollback those of an
// earlier revision. Of an earlier revision, expired exceptions are accepted, because a rollback must not
// depend on dates; they are printed as warnings.
fleet_check_result target_declarations(const parsed_arguments& line, const fleet_document& stored,
                                       wall_time now, command_output output);

// Whether exactly one of DIR and --rollback is given.
bool has_one_target(const parsed_arguments& line);

} // namespace persimmonstile
