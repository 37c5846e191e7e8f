#include "protocol/fleet_json.h"

#include "protocol/timestamp.h"

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

json settings_to_json(const std::map<std::string, setting_value>& settings) {
    json object = json::object();
    for (const auto& [name, value] : settings)
        object[name] = setting_to_json(value);
    return object;
}

json services_to_json(const std::map<std::string, milliseconds>& services) {
    json list = json::array();
    for (const auto& [name, fastest_task] : services)
        list.push_back({{"name", name}, {"fastest_task_ms", fastest_task.count()}});
    return list;
}

json exception_to_json(const config_exception& exception) {
    json object = {{"scope", {{std::string{to_string(exception.scope.kind)}, exception.scope.name}}},
                   {"setting", exception.setting},
                   {"value", setting_to_json(exception.value)},
                   {"author", exception.author},
                   {"reason", exception.reason}};
    if (exception.expires)
        object["expires"] = format_timestamp(*exception.expires);
    return object;
}

} // namespace

json fleet_to_json(const fleet_declarations& declarations) {
    const json defaults = {{"service", settings_to_json(declarations.service_defaults)},
                           {"team", settings_to_json(declarations.team_defaults)}};
    return {{"defaults", defaults},
            {"zones", declarations.zones},
            {"services", services_to_json(declarations.services)},
            {"teams", declarations.teams}};
}

json exceptions_to_json(const fleet_declarations& declarations) {
    json list = json::array();
    for (const config_exception& exception : declarations.exceptions)
        list.push_back(exception_to_json(exception));
    return list;
}

json setting_to_json(const setting_value& value) {
    return std::visit([](const auto& alternative) { return json(alternative); }, value);
}

setting_value setting_from_json(const json& value) {
    if (value.is_boolean())
        return value.get<bool>();
    if (value.is_array())
        return value.get<std::set<std::string>>();
    return value.get<std::uint64_t>();
}

} // namespace persimmonstile
