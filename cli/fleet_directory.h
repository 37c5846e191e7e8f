#pragma once

#include "protocol/fleet_check.h"

#include <string>

namespace persimmonstile {

// Reads and checks fleet.json and exceptions.json of a directory. A file that cannot be read is a finding.
fleet_check_result read_fleet_directory(const std::string& directory, wall_time now);

} // namespace persimmonstile
