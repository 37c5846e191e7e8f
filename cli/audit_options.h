#pragma once

#include "cli/parsed_arguments.h"
#include "protocol/fleet_document.h"
#include "state/time.h"

#include <optional>

namespace persimmonstile {

// Adds --reason and --author.
void add_audit_options(cxxopts::Options& options);

// Fails with a usage error if the reason is missing or blank, or the author is unknown. Without --author the
// author is the user that the environment names.
std::optional<int> check_audit_options(const cxxopts::Options& options, const parsed_arguments& line,
                                       command_output output);

change_metadata metadata_of(const parsed_arguments& line, wall_time now);

} // namespace persimmonstile
