#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

// Exit codes of the command line.
enum exit_code : int { exit_done = 0, exit_findings = 1, exit_usage = 2, exit_store_unreachable = 3 };

// Streams of one command, so that tests can read what it prints.
struct command_output {
    std::ostream& out;
    std::ostream& err;
};

// A subcommand: args are the words after its name. Returns one of exit_code.
using command_function = int (*)(const std::vector<std::string>& args, command_output output);

// An entry of the command list that main prints and searches.
struct command {
    std::string_view name;
    std::string_view summary;
    command_function run;
};

} // namespace persimmonstile
