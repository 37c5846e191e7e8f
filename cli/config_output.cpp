#include "cli/config_output.h"

#include "protocol/timestamp.h"

#include <array>

#include <nlohmann/json.hpp>

namespace persimmonstile {

using nlohmann::json;

int print_findings(const config_findings& findings, bool as_json, command_output output) {
    if (!as_json) {
        for (const config_finding& finding : findings)
            output.out << describe(finding) << '\n';
        output.out << findings.size() << (findings.size() == 1 ? " finding\n" : " findings\n");
        return exit_findings;
    }
    json list = json::array();
    for (const config_finding& finding : findings)
        list.push_back({{"kind", to_string(finding.kind)},
                        {"file", finding.file},
                        {"pointer", finding.pointer},
                        {"expected", finding.expected},
                        {"found", finding.found}});
    print_json({{"findings", std::move(list)}}, output.out);
    return exit_findings;
}

int print_unavailable(const store_unavailable& error, bool as_json, command_output output) {
    if (as_json)
        print_json({{"error", "store_unreachable"},
                    {"detail", error.detail},
                    {"may_have_applied", error.may_have_applied}},
                   output.out);
    output.err << "the store cannot be reached: " << error.detail << '\n';
    if (error.may_have_applied)
        output.err << "the change may have taken effect; see `history` once the store is back\n";
    return exit_store_unreachable;
}

void print_changes(const std::vector<declaration_change>& changes, std::ostream& out) {
    for (const declaration_change& change : changes) {
        if (!change.before)
            out << "  + " << change.path << " " << change.after.value_or("") << '\n';
        else if (!change.after)
            out << "  - " << change.path << " " << *change.before << '\n';
        else
            out << "  ~ " << change.path << " " << *change.before << " -> " << *change.after << '\n';
    }
}

void print_scopes(const std::set<config_scope>& scopes, std::ostream& out) {
    for (const scope_kind kind : {scope_kind::service, scope_kind::team, scope_kind::zone}) {
        std::string names;
        for (const config_scope& scope : scopes) {
            if (scope.kind == kind)
                names += (names.empty() ? "" : ", ") + scope.name;
        }
        out << "affected " << to_string(kind) << "s: " << (names.empty() ? "none" : names) << '\n';
    }
}

void print_record(const change_record& record, std::ostream& out) {
    out << "revision " << record.revision << " at " << format_timestamp(record.metadata.time) << " by "
        << record.metadata.author << ": " << record.metadata.reason << '\n';
    print_changes(record.changes, out);
}

json to_json(const std::vector<declaration_change>& changes) {
    json list = json::array();
    for (const declaration_change& change : changes) {
        json object = {{"path", change.path}};
        if (change.before)
            object["before"] = json::parse(*change.before);
        if (change.after)
            object["after"] = json::parse(*change.after);
        list.push_back(std::move(object));
    }
    return list;
}

json to_json(const std::set<config_scope>& scopes) {
    json object = {{"services", json::array()}, {"teams", json::array()}, {"zones", json::array()}};
    for (const config_scope& scope : scopes)
        object[std::string{to_string(scope.kind)} + "s"].push_back(scope.name);
    return object;
}

json to_json(const change_record& record) {
    return {{"revision", record.revision},       {"time", format_timestamp(record.metadata.time)},
            {"author", record.metadata.author},  {"reason", record.metadata.reason},
            {"writer", record.metadata.writer},  {"operation_id", record.metadata.operation_id},
            {"changes", to_json(record.changes)}};
}

void print_json(const json& value, std::ostream& out) {
    out << value.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace persimmonstile
