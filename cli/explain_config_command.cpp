#include "cli/explain_config_command.h"

#include "cli/config_output.h"
#include "cli/config_store.h"
#include "cli/store_options.h"
#include "protocol/closest_name.h"
#include "protocol/fleet_difference.h"
#include "protocol/fleet_json.h"
#include "protocol/fleet_settings.h"
#include "protocol/timestamp.h"
#include "transport/system_clock_source.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

struct explain_request {
    config_scope scope;
    std::optional<std::string> setting;
    std::optional<config_revision> revision;
    bool as_json = false;
};

// An effective value and the change that gave it, which built-in defaults do not have.
struct explained_setting {
    effective_setting setting;
    std::optional<change_origin> origin;
};

std::vector<std::string> declared_names(const fleet_declarations& declarations, scope_kind kind) {
    std::vector<std::string> names;
    if (kind == scope_kind::service) {
        for (const auto& [name, unused] : declarations.services)
            names.push_back(name);
        return names;
    }
    const auto& set = kind == scope_kind::team ? declarations.teams : declarations.zones;
    names.assign(set.begin(), set.end());
    return names;
}

std::optional<change_origin> origin_of(const fleet_document& document, const config_scope& scope,
                                       const effective_setting& setting) {
    const std::string path = setting.source == setting_source::exception
                                 ? exception_path(scope, setting.name)
                                 : default_path(scope.kind, setting.name);
    const auto found = document.origins.find(path);
    if (setting.source == setting_source::builtin_default || found == document.origins.end())
        return std::nullopt;
    return found->second;
}

json explanation_json(const explained_setting& explained) {
    const effective_setting& setting = explained.setting;
    json object = {{"setting", setting.name},
                   {"value", setting_to_json(setting.value)},
                   {"source", to_string(setting.source)}};
    if (explained.origin) {
        object["revision"] = explained.origin->revision;
        object["time"] = format_timestamp(explained.origin->time);
        object["author"] = explained.origin->author;
        object["reason"] = explained.origin->reason;
    }
    if (setting.exception) {
        object["author"] = setting.exception->author;
        object["reason"] = setting.exception->reason;
        if (setting.exception->expires)
            object["expires"] = format_timestamp(*setting.exception->expires);
    }
    return object;
}

void print_explanation(const explained_setting& explained, wall_time now, std::ostream& out) {
    const json object = explanation_json(explained);
    out << object["setting"].get<std::string>() << " = " << object["value"].dump() << "  ("
        << object["source"].get<std::string>();
    if (explained.origin)
        out << ", since revision " << explained.origin->revision << " at "
            << format_timestamp(explained.origin->time);
    if (object.contains("author"))
        out << ", by " << object["author"].get<std::string>() << ": " << object["reason"].get<std::string>();
    if (object.contains("expires")) {
        const bool expired = *explained.setting.exception->expires <= now;
        out << (expired ? ", expired " : ", expires ") << object["expires"].get<std::string>();
    }
    out << ")\n";
}

int print_explanations(const fleet_document& document, const explain_request& request, wall_time now,
                       command_output output) {
    json list = json::array();
    for (const effective_setting& setting : effective_settings(document.declarations, request.scope)) {
        if (request.setting && *request.setting != setting.name)
            continue;
        const explained_setting explained{setting, origin_of(document, request.scope, setting)};
        if (request.as_json)
            list.push_back(explanation_json(explained));
        else
            print_explanation(explained, now, output.out);
    }
    if (request.as_json)
        print_json({{"revision", document.revision},
                    {"scope", {{std::string{to_string(request.scope.kind)}, request.scope.name}}},
                    {"settings", std::move(list)}},
                   output.out);
    else
        output.out << "revision " << document.revision << '\n';
    return exit_done;
}

int refuse(const std::string& expected, const std::string& found, command_output output) {
    output.err << "expected " << expected << ", found " << found << '\n';
    return exit_findings;
}

int explain(const fleet_document& stored, const explain_request& request, wall_time now,
            command_output output) {
    const config_revision revision = request.revision.value_or(stored.revision);
    const auto document = document_at(stored, revision);
    if (!document)
        return refuse("a revision from " + std::to_string(stored.reaches_back_to()) + " to " +
                          std::to_string(stored.revision) + ", which the history reaches",
                      std::to_string(revision), output);
    const auto names = declared_names(document->declarations, request.scope.kind);
    if (std::find(names.begin(), names.end(), request.scope.name) == names.end())
        return refuse(describe_choices(request.scope.name, names) + " in revision " +
                          std::to_string(revision),
                      request.scope.name, output);
    return print_explanations(*document, request, now, output);
}

// Empty if the words do not name a kind and, if given, one of its settings.
std::optional<explain_request> request_from(const parsed_arguments& line) {
    const auto kind = scope_kind_of(line.words.at(0));
    if (!kind)
        return std::nullopt;
    explain_request request;
    request.scope = {*kind, line.words.at(1)};
    request.as_json = line.options.count("json") > 0;
    if (line.options.count("revision") > 0)
        request.revision = number_option(line, "revision");
    if (line.words.size() < 3)
        return request;
    request.setting = line.words.at(2);
    const auto names = setting_names(*kind);
    if (std::find(names.begin(), names.end(), *request.setting) == names.end())
        return std::nullopt;
    return request;
}

} // namespace

int run_explain_config(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile explain", "Shows effective settings and where they come from."};
    options.custom_help("service|zone|team NAME [SETTING] --store URL --cell NAME [--revision N] [--json]");
    add_store_options(options);
    options.add_options()("revision", "an earlier revision", number_value());
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 2, 3, output, line))
        return *code;
    if (const auto code = check_store_options(options, line, output))
        return *code;
    const auto request = request_from(line);
    if (!request)
        return print_usage_error(options, "no such kind or setting", output);
    const system_clock_source clock;
    const auto store = open_store(line, clock);
    const load_result loaded = load_config(*store, line.options["cell"].as<std::string>());
    if (const auto* const error = std::get_if<store_unavailable>(&loaded))
        return print_unavailable(*error, request->as_json, output);
    if (const auto* const findings = std::get_if<config_findings>(&loaded))
        return print_findings(*findings, request->as_json, output);
    return explain(std::get<loaded_config>(loaded).document, *request, clock.wall_now(), output);
}

} // namespace persimmonstile
