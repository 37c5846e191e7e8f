#pragma once

#include "protocol/settings_override.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmonstile {

// Options from the command line of the daemon. Precedence: help, version, check, then a normal run.
struct daemon_options {
    // Empty if all settings are given on the command line.
    std::string settings_path;
    std::vector<settings_override> overrides;
    // Report all findings about the settings and exit.
    bool check = false;
    bool help = false;
    bool version = false;
};

// Error in the command line. The daemon prints detail and exits with exit_usage.
struct usage_error {
    std::string detail;
};

// Parses the arguments after the program name. The option of a setting is its name with '-' instead of '_',
// for example --log-level.
std::variant<daemon_options, usage_error> parse_daemon_options(const std::vector<std::string>& args);

// The text of --help.
std::string daemon_help();

} // namespace persimmonstile
