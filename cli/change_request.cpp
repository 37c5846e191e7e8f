#include "cli/change_request.h"

#include "cli/fleet_directory.h"
#include "protocol/fleet_json.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

fleet_check_result earlier_declarations(const fleet_document& stored, config_revision revision, wall_time now,
                                        command_output output) {
    const auto earlier = document_at(stored, revision);
    if (!earlier || revision == 0)
        return config_findings{{finding_kind::out_of_range, "history", "",
                                "a revision from " +
                                    std::to_string(std::max<config_revision>(1, stored.reaches_back_to())) +
                                    " to " + std::to_string(stored.revision),
                                std::to_string(revision)}};
    const declaration_location fleet{"revision " + std::to_string(revision), "/fleet"};
    const declaration_location exceptions{fleet.file, "/exceptions"};
    fleet_check_result checked = check_fleet(fleet_to_json(earlier->declarations), fleet,
                                             exceptions_to_json(earlier->declarations), exceptions, now);
    if (std::holds_alternative<fleet_declarations>(checked))
        return checked;
    const auto& findings = std::get<config_findings>(checked);
    const auto is_expired = [](const config_finding& finding) {
        return finding.kind == finding_kind::expired;
    };
    if (!std::all_of(findings.begin(), findings.end(), is_expired))
        return checked;
    for (const config_finding& finding : findings)
        output.err << "warning: " << describe(finding) << '\n';
    return earlier->declarations;
}

} // namespace

void add_target_options(cxxopts::Options& options) {
    options.add_options()("rollback", "take the declarations of this revision instead of a directory",
                          number_value());
}

fleet_check_result target_declarations(const parsed_arguments& line, const fleet_document& stored,
                                       wall_time now, command_output output) {
    if (line.options.count("rollback") > 0)
        return earlier_declarations(stored, number_option(line, "rollback"), now, output);
    return read_fleet_directory(line.words.front(), now);
}

bool has_one_target(const parsed_arguments& line) {
    return line.words.empty() == (line.options.count("rollback") > 0);
}

} // namespace persimmonstile
