#include "protocol/fleet_difference.h"

#include "protocol/fleet_json.h"
#include "protocol/timestamp.h"

#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

constexpr std::string_view defaults_prefix = "defaults/";
constexpr std::string_view exceptions_prefix = "exceptions/";

json exception_body(const config_exception& exception) {
    json body = {{"value", setting_to_json(exception.value)},
                 {"author", exception.author},
                 {"reason", exception.reason}};
    if (exception.expires)
        body["expires"] = format_timestamp(*exception.expires);
    return body;
}

std::string text_of(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Splits "a/b/c" at every slash. Names contain none.
std::vector<std::string> parts_of(std::string_view path) {
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        parts.emplace_back(path.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

void add_defaults(scope_kind kind, const std::map<std::string, setting_value>& defaults,
                  flat_declarations& flat) {
    for (const auto& [name, value] : defaults)
        flat[default_path(kind, name)] = text_of(setting_to_json(value));
}

config_exception exception_from(const std::vector<std::string>& parts, const json& body) {
    config_exception exception;
    exception.scope = {*scope_kind_of(parts.at(1)), parts.at(2)};
    exception.setting = parts.at(3);
    exception.value = setting_from_json(body.at("value"));
    exception.author = body.at("author").get<std::string>();
    exception.reason = body.at("reason").get<std::string>();
    if (body.contains("expires"))
        exception.expires = parse_timestamp(body.at("expires").get<std::string>());
    return exception;
}

void add_parsed(const std::vector<std::string>& parts, const json& value, fleet_declarations& result) {
    const std::string& kind = parts.at(0);
    if (kind == "defaults") {
        auto& defaults = parts.at(1) == "service" ? result.service_defaults : result.team_defaults;
        defaults[parts.at(2)] = setting_from_json(value);
    } else if (kind == "exceptions") {
        result.exceptions.push_back(exception_from(parts, value));
    } else if (kind == "service") {
        result.services[parts.at(1)] = milliseconds{value.at("fastest_task_ms").get<std::int64_t>()};
    } else if (kind == "team") {
        result.teams.insert(parts.at(1));
    } else {
        result.zones.insert(parts.at(1));
    }
}

void add_all(const fleet_declarations& declarations, scope_kind kind, std::set<config_scope>& scopes) {
    if (kind == scope_kind::service) {
        for (const auto& [name, unused] : declarations.services)
            scopes.insert({kind, name});
    } else {
        for (const std::string& name : declarations.teams)
            scopes.insert({kind, name});
    }
}

} // namespace

std::string default_path(scope_kind kind, const std::string& setting) {
    return std::string{defaults_prefix} + std::string{to_string(kind)} + "/" + setting;
}

std::string exception_path(const config_scope& scope, const std::string& setting) {
    return std::string{exceptions_prefix} + std::string{to_string(scope.kind)} + "/" + scope.name + "/" +
           setting;
}

flat_declarations flatten(const fleet_declarations& declarations) {
    flat_declarations flat;
    add_defaults(scope_kind::service, declarations.service_defaults, flat);
    add_defaults(scope_kind::team, declarations.team_defaults, flat);
    for (const std::string& name : declarations.zones)
        flat["zone/" + name] = "{}";
    for (const auto& [name, fastest_task] : declarations.services)
        flat["service/" + name] = text_of(json{{"fastest_task_ms", fastest_task.count()}});
    for (const std::string& name : declarations.teams)
        flat["team/" + name] = "{}";
    for (const config_exception& exception : declarations.exceptions)
        flat[exception_path(exception.scope, exception.setting)] = text_of(exception_body(exception));
    return flat;
}

fleet_declarations unflatten(const flat_declarations& flat) {
    fleet_declarations result;
    for (const auto& [path, text] : flat)
        add_parsed(parts_of(path), json::parse(text), result);
    return result;
}

std::vector<declaration_change> difference(const flat_declarations& before, const flat_declarations& after) {
    std::vector<declaration_change> changes;
    auto old_item = before.begin();
    auto new_item = after.begin();
    while (old_item != before.end() || new_item != after.end()) {
        if (new_item == after.end() || (old_item != before.end() && old_item->first < new_item->first)) {
            changes.push_back({old_item->first, old_item->second, std::nullopt, std::nullopt});
            ++old_item;
        } else if (old_item == before.end() || new_item->first < old_item->first) {
            changes.push_back({new_item->first, std::nullopt, new_item->second, std::nullopt});
            ++new_item;
        } else {
            if (old_item->second != new_item->second)
                changes.push_back({old_item->first, old_item->second, new_item->second, std::nullopt});
            ++old_item;
            ++new_item;
        }
    }
    return changes;
}

std::set<config_scope> affected_scopes(const std::vector<declaration_change>& changes,
                                       const fleet_declarations& before, const fleet_declarations& after) {
    std::set<config_scope> scopes;
    for (const declaration_change& change : changes) {
        const std::vector<std::string> parts = parts_of(change.path);
        if (parts.at(0) == "defaults") {
            add_all(before, *scope_kind_of(parts.at(1)), scopes);
            add_all(after, *scope_kind_of(parts.at(1)), scopes);
        } else if (parts.at(0) == "exceptions") {
            scopes.insert({*scope_kind_of(parts.at(1)), parts.at(2)});
        } else {
            scopes.insert({*scope_kind_of(parts.at(0)), parts.at(1)});
        }
    }
    return scopes;
}

} // namespace persimmonstile
