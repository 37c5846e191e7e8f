#include "cli/apply_command.h"

#include "cli/audit_options.h"
#include "cli/change_request.h"
#include "cli/config_output.h"
#include "cli/store_options.h"
#include "cli/wait_in_force.h"
#include "protocol/fleet_difference.h"
#include "transport/system_clock_source.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;
using change_list = std::vector<declaration_change>;

std::optional<config_revision> expected_revision(const parsed_arguments& line) {
    if (line.options.count("expect") == 0)
        return std::nullopt;
    return number_option(line, "expect");
}

// What others changed after the planned revision, as far as the history reaches.
std::vector<change_record> records_after(const fleet_document& document, config_revision revision) {
    std::vector<change_record> records;
    std::copy_if(document.history.begin(), document.history.end(), std::back_inserter(records),
                 [&](const change_record& record) { return record.revision > revision; });
    return records;
}

int print_lost_race(config_revision planned, const change_list& own, const fleet_document& current,
                    bool as_json, command_output output) {
    const std::vector<change_record> others = records_after(current, planned);
    if (as_json) {
        json other_records = json::array();
        for (const change_record& record : others)
            other_records.push_back(to_json(record));
        print_json({{"error", "lost_race"},
                    {"planned_on", planned},
                    {"current_revision", current.revision},
                    {"your_changes", to_json(own)},
                    {"other_changes", std::move(other_records)}},
                   output.out);
        return exit_findings;
    }
    output.out << "not applied: planned on revision " << planned << ", but the store has revision "
               << current.revision << "\nyour changes:\n";
    print_changes(own, output.out);
    output.out << "changes since:\n";
    for (const change_record& record : others)
        print_record(record, output.out);
    output.out << "plan again\n";
    return exit_findings;
}

// Own changes relative to the planned revision, or to the present one if the history no longer has it.
change_list own_changes(const fleet_document& current, config_revision planned,
                        const fleet_declarations& target) {
    const auto base = document_at(current, planned);
    return difference(flatten(base ? base->declarations : current.declarations), flatten(target));
}

// Changes that put a zone in or out of service. `zone out` writes to the store only, so a directory that does
// not contain its exception would bring the zone back as a side effect.
change_list zone_switches(const change_list& changes) {
    change_list switches;
    std::copy_if(
        changes.begin(), changes.end(), std::back_inserter(switches),
        [](const declaration_change& change) { return change.path.starts_with("exceptions/zone/"); });
    return switches;
}

int refuse_zone_switch(const change_list& switches, config_revision revision, bool as_json,
                       command_output output) {
    if (as_json) {
        print_json({{"error", "confirmation_needed"}, {"revision", revision}, {"changes", to_json(switches)}},
                   output.out);
        return exit_findings;
    }
    output.out << "not applied: this would change whether zones are in service:\n";
    print_changes(switches, output.out);
    output.out << "confirm with --expect " << revision << '\n';
    return exit_findings;
}

int print_applied(config_revision revision, const change_list& changes, bool as_json, command_output output) {
    if (as_json) {
        print_json({{"revision", revision}, {"changes", to_json(changes)}}, output.out);
        return exit_done;
    }
    if (changes.empty()) {
        output.out << "nothing to change: revision " << revision << " has these declarations\n";
        return exit_done;
    }
    output.out << "applied as revision " << revision << '\n';
    print_changes(changes, output.out);
    return exit_done;
}

struct apply_request {
    std::string cell;
    std::optional<config_revision> expected;
    bool as_json = false;
};

int apply_to(etcd_store& store, const loaded_config& base, const fleet_declarations& target,
             const apply_request& request, const parsed_arguments& line, const system_clock_source& clock,
             command_output output) {
    const fleet_document& stored = base.document;
    if (request.expected && *request.expected != stored.revision)
        return print_lost_race(*request.expected, own_changes(stored, *request.expected, target), stored,
                               request.as_json, output);
    const change_list changes = difference(flatten(stored.declarations), flatten(target));
    const change_list switches = zone_switches(changes);
    if (!request.expected && !switches.empty())
        return refuse_zone_switch(switches, stored.revision, request.as_json, output);
    config_revision revision = stored.revision;
    if (!changes.empty()) {
        const change_result result =
            store_change(store, request.cell, base, target, metadata_of(line, clock.wall_now()));
        if (const auto* const error = std::get_if<store_unavailable>(&result))
            return print_unavailable(*error, request.as_json, output);
        if (const auto* const findings = std::get_if<config_findings>(&result))
            return print_findings(*findings, request.as_json, output);
        if (const auto* const lost = std::get_if<change_lost_race>(&result))
            return print_lost_race(stored.revision, changes, lost->current.document, request.as_json, output);
        revision = std::get<change_applied>(result).revision;
    }
    print_applied(revision, changes, request.as_json, output);
    return wait_if_asked(line, revision, clock, output);
}

} // namespace

int run_apply(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile apply", "Makes declarations the next revision."};
    options.custom_help("DIR|--rollback REVISION --store URL --cell NAME --reason TEXT --author NAME "
                        "[--expect REVISION] [--wait --entry URL,...] [--json]");
    add_store_options(options);
    add_target_options(options);
    add_audit_options(options);
    add_wait_options(options);
    options.add_options()("expect", "apply only on this revision, as plan printed it", number_value());
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 1, output, line))
        return *code;
    if (const auto code = check_store_options(options, line, output))
        return *code;
    if (const auto code = check_audit_options(options, line, output))
        return *code;
    if (const auto code = check_wait_options(options, line, output))
        return *code;
    if (!has_one_target(line))
        return print_usage_error(options, "either DIR or --rollback is required", output);
    const apply_request request{line.options["cell"].as<std::string>(), expected_revision(line),
                                line.options.count("json") > 0};
    const system_clock_source clock;
    const auto store = open_store(line, clock);
    const load_result loaded = load_newest_config(*store, request.cell);
    if (const auto* const error = std::get_if<store_unavailable>(&loaded))
        return print_unavailable(*error, request.as_json, output);
    if (const auto* const findings = std::get_if<config_findings>(&loaded))
        return print_findings(*findings, request.as_json, output);
    const auto& base = std::get<loaded_config>(loaded);
    const fleet_check_result target = target_declarations(line, base.document, clock.wall_now(), output);
    if (const auto* const findings = std::get_if<config_findings>(&target))
        return print_findings(*findings, request.as_json, output);
    return apply_to(*store, base, std::get<fleet_declarations>(target), request, line, clock, output);
}

} // namespace persimmonstile
