#include "cli/plan_command.h"

#include "cli/change_request.h"
#include "cli/config_output.h"
#include "cli/store_options.h"
#include "protocol/fleet_difference.h"
#include "transport/system_clock_source.h"

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

int print_plan(const fleet_document& stored, const fleet_declarations& target, bool as_json,
               command_output output) {
    const auto changes = difference(flatten(stored.declarations), flatten(target));
    const auto scopes = affected_scopes(changes, stored.declarations, target);
    const config_revision planned = changes.empty() ? stored.revision : stored.revision + 1;
    if (as_json) {
        print_json({{"base_revision", stored.revision},
                    {"planned_revision", planned},
                    {"changes", to_json(changes)},
                    {"affected", to_json(scopes)}},
                   output.out);
        return exit_done;
    }
    if (changes.empty()) {
        output.out << "nothing to change: revision " << stored.revision << " has these declarations\n";
        return exit_done;
    }
    output.out << "revision " << stored.revision << " -> " << planned << '\n';
    print_changes(changes, output.out);
    print_scopes(scopes, output.out);
    output.out << "apply with --expect " << stored.revision << '\n';
    return exit_done;
}

} // namespace

int run_plan(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile plan", "Shows what applying declarations would change."};
    options.custom_help("DIR|--rollback REVISION --store URL --cell NAME [--json]");
    add_store_options(options);
    add_target_options(options);
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 1, output, line))
        return *code;
    if (const auto code = check_store_options(options, line, output))
        return *code;
    if (!has_one_target(line))
        return print_usage_error(options, "either DIR or --rollback is required", output);
    const bool as_json = line.options.count("json") > 0;
    const system_clock_source clock;
    const auto store = open_store(line, clock);
    const load_result loaded = load_config(*store, line.options["cell"].as<std::string>());
    if (const auto* const error = std::get_if<store_unavailable>(&loaded))
        return print_unavailable(*error, as_json, output);
    if (const auto* const findings = std::get_if<config_findings>(&loaded))
        return print_findings(*findings, as_json, output);
    const fleet_document& stored = std::get<loaded_config>(loaded).document;
    const fleet_check_result target = target_declarations(line, stored, clock.wall_now(), output);
    if (const auto* const findings = std::get_if<config_findings>(&target))
        return print_findings(*findings, as_json, output);
    return print_plan(stored, std::get<fleet_declarations>(target), as_json, output);
}

} // namespace persimmonstile
