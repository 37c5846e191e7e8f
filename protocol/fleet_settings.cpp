#include "protocol/fleet_settings.h"

#include <algorithm>
#include <array>

namespace persimmonstile {

namespace {

template <typename Policy> struct setting {
    const char* name;
    setting_value (*read)(const Policy&);
    void (*write)(Policy&, const setting_value&);
};

std::uint32_t number_of(const setting_value& value) {
    return static_cast<std::uint32_t>(std::get<std::uint64_t>(value));
}

const std::array service_settings = {
    setting<service_policy>{
        "max_tasks",
        [](const service_policy& policy) -> setting_value { return std::uint64_t{policy.max_tasks}; },
        [](service_policy& policy, const setting_value& value) {
            policy.max_tasks = number_of(value);
        }},
    setting<service_policy>{"default_deadline_ms",
                            [](const service_policy& policy) -> setting_value {
                                return static_cast<std::uint64_t>(policy.default_deadline.count());
                            },
                            [](service_policy& policy, const setting_value& value) {
                                policy.default_deadline = milliseconds{number_of(value)};
                            }},
    setting<service_policy>{
        "queue_limit",
        [](const service_policy& policy) -> setting_value { return std::uint64_t{policy.queue_limit}; },
        [](service_policy& policy, const setting_value& value) {
            policy.queue_limit = number_of(value);
        }},
    setting<service_policy>{
        "idempotent_methods",
        [](const service_policy& policy) -> setting_value { return policy.idempotent_methods; },
        [](service_policy& policy, const setting_value& value) {
            policy.idempotent_methods = std::get<std::set<std::string>>(value);
        }}};

const std::array team_settings = {setting<team_policy>{"share",
                                                       [](const team_policy& policy) -> setting_value {
                                                           return std::uint64_t{policy.share};
                                                       },
                                                       [](team_policy& policy, const setting_value& value) {
                                                           policy.share = number_of(value);
                                                       }},
                                  setting<team_policy>{"max_running",
                                                       [](const team_policy& policy) -> setting_value {
                                                           return std::uint64_t{policy.max_running};
                                                       },
                                                       [](team_policy& policy, const setting_value& value) {
                                                           policy.max_running = number_of(value);
                                                       }}};

constexpr const char* zone_setting = "in_service";

template <typename Settings> std::vector<std::string> names_of(const Settings& settings) {
    std::vector<std::string> names;
    names.reserve(settings.size());
    for (const auto& entry : settings)
        names.emplace_back(entry.name);
    return names;
}

template <typename Policy, typename Settings>
setting_value builtin_of(const Settings& settings, const std::string& name) {
    const auto found =
        std::find_if(settings.begin(), settings.end(), [&](const auto& entry) { return name == entry.name; });
    return found->read(Policy{});
}

template <typename Policy, typename Settings>
void write_setting(const Settings& settings, Policy& policy, const std::string& name,
                   const setting_value& value) {
    for (const auto& entry : settings) {
        if (name == entry.name)
            entry.write(policy, value);
    }
}

template <typename Policy, typename Settings>
Policy with_defaults(const Settings& settings, const std::map<std::string, setting_value>& defaults) {
    Policy policy;
    for (const auto& [name, value] : defaults)
        write_setting(settings, policy, name, value);
    return policy;
}

const std::map<std::string, setting_value>& defaults_of(const fleet_declarations& declarations,
                                                        scope_kind kind) {
    static const std::map<std::string, setting_value> none;
    if (kind == scope_kind::service)
        return declarations.service_defaults;
    if (kind == scope_kind::team)
        return declarations.team_defaults;
    return none;
}

void apply_exception(fleet_view& view, const config_exception& exception) {
    const config_scope& scope = exception.scope;
    if (const auto service = view.services.find(scope.name);
        scope.kind == scope_kind::service && service != view.services.end())
        write_setting(service_settings, service->second, exception.setting, exception.value);
    if (const auto team = view.teams.find(scope.name);
        scope.kind == scope_kind::team && team != view.teams.end())
        write_setting(team_settings, team->second, exception.setting, exception.value);
    if (scope.kind == scope_kind::zone && view.zones.contains(scope.name) && !std::get<bool>(exception.value))
        view.zones_out.insert(scope.name);
}

} // namespace

std::vector<std::string> setting_names(scope_kind kind) {
    if (kind == scope_kind::service)
        return names_of(service_settings);
    if (kind == scope_kind::team)
        return names_of(team_settings);
    return {zone_setting};
}

setting_value builtin_setting(scope_kind kind, const std::string& name) {
    if (kind == scope_kind::service)
        return builtin_of<service_policy>(service_settings, name);
    if (kind == scope_kind::team)
        return builtin_of<team_policy>(team_settings, name);
    return true;
}

std::vector<effective_setting> effective_settings(const fleet_declarations& declarations,
                                                  const config_scope& scope) {
    const auto& defaults = defaults_of(declarations, scope.kind);
    std::vector<effective_setting> result;
    for (const std::string& name : setting_names(scope.kind)) {
        effective_setting setting{
            name, builtin_setting(scope.kind, name), setting_source::builtin_default, {}};
        if (const auto found = defaults.find(name); found != defaults.end()) {
            setting.value = found->second;
            setting.source = setting_source::fleet_default;
        }
        for (const config_exception& exception : declarations.exceptions) {
            if (exception.scope != scope || exception.setting != name)
                continue;
            setting.value = exception.value;
            setting.source = setting_source::exception;
            setting.exception = exception;
        }
        result.push_back(std::move(setting));
    }
    return result;
}

fleet_view effective_view(const fleet_declarations& declarations, config_revision revision) {
    fleet_view view;
    view.revision = revision;
    view.zones = declarations.zones;
    for (const auto& [name, fastest_task] : declarations.services) {
        view.services[name] = with_defaults<service_policy>(service_settings, declarations.service_defaults);
        view.services[name].name = name;
    }
    for (const std::string& name : declarations.teams) {
        view.teams[name] = with_defaults<team_policy>(team_settings, declarations.team_defaults);
        view.teams[name].name = name;
    }
    for (const config_exception& exception : declarations.exceptions)
        apply_exception(view, exception);
    return view;
}

} // namespace persimmonstile
