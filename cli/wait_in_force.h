#pragma once

#include "cli/parsed_arguments.h"
#include "state/ids.h"
#include "state/time.h"

#include <string>
#include <vector>

namespace persimmonstile {

class clock_source;

// What an entry's GET /v1/status last said about a revision.
struct entry_progress {
    std::string entry;
    bool in_force = false;
    // Why not: the error, the entry's revision, or the agents that are behind.
    std::string detail;
};

// Adds --wait, --entry and --wait-timeout-ms.
void add_wait_options(cxxopts::Options& options);

// Fails with a usage error if --wait has no --entry.
std::optional<int> check_wait_options(const cxxopts::Options& options, const parsed_arguments& line,
                                      command_output output);

// Polls every entry until all of them report the revision (or a newer one) as in force, or until the timeout.
// Returns the last state of each.
std::vector<entry_progress> wait_in_force(const std::vector<std::string>& entries, config_revision revision,
                                          milliseconds timeout, const clock_source& clock);

// If --wait is given, waits and prints where the revision is in force and where not. Returns exit_done, or
// exit_findings if it is not in force everywhere in time.
int wait_if_asked(const parsed_arguments& line, config_revision revision, const clock_source& clock,
                  command_output output);

} // namespace persimmonstile
