#include "cli/zone_command.h"

#include "cli/audit_options.h"
#include "cli/config_output.h"
#include "cli/config_store.h"
#include "cli/store_options.h"
#include "cli/wait_in_force.h"
#include "protocol/closest_name.h"
#include "transport/system_clock_source.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

constexpr const char* zone_setting = "in_service";

// The change concerns one exception only and is safe to repeat on whatever others wrote in the meantime.
// Under a constant stream of changes each attempt has a good chance, as a change takes a few milliseconds.
constexpr int race_attempts = 10;

bool is_about(const config_exception& exception, const std::string& zone) {
    return exception.scope == config_scope{scope_kind::zone, zone} && exception.setting == zone_setting;
}

bool is_out(const fleet_declarations& declarations, const std::string& zone) {
    return std::any_of(declarations.exceptions.begin(), declarations.exceptions.end(),
                       [&](const config_exception& exception) {
                           return is_about(exception, zone) && exception.value == setting_value{false};
                       });
}

fleet_declarations with_zone(fleet_declarations declarations, const std::string& zone, bool out,
                             const change_metadata& metadata) {
    std::erase_if(declarations.exceptions, [&](const auto& exception) { return is_about(exception, zone); });
    if (out)
        declarations.exceptions.push_back({{scope_kind::zone, zone},
                                           zone_setting,
                                           setting_value{false},
                                           metadata.author,
                                           metadata.reason,
                                           std::nullopt});
    return declarations;
}

int print_result(const std::string& zone, bool out, config_revision revision, bool changed, bool as_json,
                 command_output output) {
    if (as_json)
        print_json({{"zone", zone}, {"in_service", !out}, {"revision", revision}, {"changed", changed}},
                   output.out);
    else
        output.out << "zone " << zone << (out ? " is out of service" : " is in service")
                   << (changed ? " as of revision " : " already, in revision ") << revision << '\n';
    return exit_done;
}

int refuse_unknown(const std::string& zone, const std::set<std::string>& zones, bool as_json,
                   command_output output) {
    const std::vector<std::string> names{zones.begin(), zones.end()};
    return print_findings(
        {{finding_kind::unknown_name, "configuration", "/zones", describe_choices(zone, names), zone}},
        as_json, output);
}

struct zone_request {
    std::string cell;
    std::string zone;
    bool out = false;
    bool as_json = false;
};

// Repeats the change on top of whatever won a race. Prints the result and sets the revision on success.
int switch_zone(etcd_store& store, const zone_request& request, const change_metadata& metadata,
                config_revision& revision, command_output output) {
    for (int attempt = 0; attempt < race_attempts; ++attempt) {
        const load_result loaded = load_newest_config(store, request.cell);
        if (const auto* const error = std::get_if<store_unavailable>(&loaded))
            return print_unavailable(*error, request.as_json, output);
        if (const auto* const findings = std::get_if<config_findings>(&loaded))
            return print_findings(*findings, request.as_json, output);
        const auto& base = std::get<loaded_config>(loaded);
        const fleet_declarations& declarations = base.document.declarations;
        revision = base.document.revision;
        if (!declarations.zones.contains(request.zone))
            return refuse_unknown(request.zone, declarations.zones, request.as_json, output);
        if (is_out(declarations, request.zone) == request.out)
            return print_result(request.zone, request.out, revision, false, request.as_json, output);
        const change_result result =
            store_change(store, request.cell, base,
                         with_zone(declarations, request.zone, request.out, metadata), metadata);
        if (const auto* const error = std::get_if<store_unavailable>(&result))
            return print_unavailable(*error, request.as_json, output);
        if (const auto* const findings = std::get_if<config_findings>(&result))
            return print_findings(*findings, request.as_json, output);
        if (const auto* const applied = std::get_if<change_applied>(&result)) {
            revision = applied->revision;
            return print_result(request.zone, request.out, revision, true, request.as_json, output);
        }
    }
    output.err << "not applied: others changed the configuration " << race_attempts << " times meanwhile\n";
    return exit_findings;
}

} // namespace

int run_zone(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile zone", "Takes a zone out of service or brings it back."};
    options.custom_help("out|in NAME --store URL --cell NAME --reason TEXT [--author NAME] "
                        "[--wait --entry URL,...] [--json]");
    add_store_options(options);
    add_audit_options(options);
    add_wait_options(options);
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 2, 2, output, line))
        return *code;
    if (const auto code = check_store_options(options, line, output))
        return *code;
    if (const auto code = check_audit_options(options, line, output))
        return *code;
    if (const auto code = check_wait_options(options, line, output))
        return *code;
    if (line.words[0] != "out" && line.words[0] != "in")
        return print_usage_error(options, "expected out or in", output);
    const zone_request request{line.options["cell"].as<std::string>(), line.words[1], line.words[0] == "out",
                               line.options.count("json") > 0};
    const system_clock_source clock;
    const auto store = open_store(line, clock);
    config_revision revision = 0;
    const int code = switch_zone(*store, request, metadata_of(line, clock.wall_now()), revision, output);
    if (code != exit_done)
        return code;
    return wait_if_asked(line, revision, clock, output);
}

} // namespace persimmonstile
