#include "cli/check_command.h"

#include "cli/config_output.h"
#include "cli/fleet_directory.h"
#include "cli/parsed_arguments.h"
#include "transport/system_clock_source.h"

#include <nlohmann/json.hpp>

namespace persimmonstile {

int run_check(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile check", "Checks the declarations in a directory."};
    options.custom_help("DIR [--json]");
    options.add_options()("json", "print JSON");
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 1, 1, output, line))
        return *code;
    const bool as_json = line.options.count("json") > 0;
    const fleet_check_result checked =
        read_fleet_directory(line.words.front(), system_clock_source{}.wall_now());
    if (const auto* const findings = std::get_if<config_findings>(&checked))
        return print_findings(*findings, as_json, output);
    if (as_json)
        print_json({{"findings", nlohmann::json::array()}}, output.out);
    else
        output.out << "no findings\n";
    return exit_done;
}

} // namespace persimmonstile
