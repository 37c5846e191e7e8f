#include "protocol/fleet_check.h"

#include "protocol/bounded_json.h"
#include "protocol/closest_name.h"
#include "protocol/fleet_json.h"
#include "protocol/fleet_schema.h"
#include "protocol/fleet_settings.h"
#include "protocol/schema_check.h"
#include "protocol/timestamp.h"

#include <algorithm>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

// Used when a service does not declare its fastest task: no answer takes less than a round trip.
constexpr milliseconds fastest_possible_task{1};

const json& fleet_schema_json() {
    static const json schema = json::parse(fleet_schema());
    return schema;
}

const schema_check& settings_check(scope_kind kind) {
    const json& definitions = fleet_schema_json().at("definitions");
    static const schema_check service{definitions.at("service_settings")};
    static const schema_check team{definitions.at("team_settings")};
    static const schema_check zone{definitions.at("zone_settings")};
    if (kind == scope_kind::service)
        return service;
    return kind == scope_kind::team ? team : zone;
}

bool is_blank(const std::string& text) {
    return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

// Names appear in paths, log lines and on the command line.
bool is_valid_name(const std::string& name) {
    const auto is_bad = [](unsigned char c) {
        return c < ' ' || c == '/' || c == '\x7f';
    };
    return !name.empty() && name.front() != ' ' && name.back() != ' ' &&
           std::none_of(name.begin(), name.end(), is_bad);
}

// Where the effective value of a setting was declared.
using setting_places = std::map<std::pair<config_scope, std::string>, declaration_location>;

class fleet_checker {
public:
    fleet_checker(const json& fleet, const declaration_location& fleet_location, const json& exceptions,
                  const declaration_location& exceptions_location, const std::optional<wall_time>& now)
        : fleet_{fleet}
        , fleet_location_{fleet_location}
        , exceptions_{exceptions}
        , exceptions_location_{exceptions_location}
        , now_{now} {}

    fleet_check_result run() {
        check_schemas();
        read_names("zones", declarations_.zones);
        read_names("teams", declarations_.teams);
        read_services();
        read_defaults();
        read_exceptions();
        for (const auto& [name, fastest_task] : declarations_.services)
            check_limits(name, fastest_task);
        if (!findings_.empty())
            return std::move(findings_);
        return std::move(declarations_);
    }

private:
    void check_schemas() {
        static const schema_check fleet_check{fleet_schema_json()};
        static const schema_check exceptions_check{json::parse(exceptions_schema())};
        findings_ = fleet_check.check(fleet_, fleet_location_.file, fleet_location_.pointer);
        const config_findings more =
            exceptions_check.check(exceptions_, exceptions_location_.file, exceptions_location_.pointer);
        findings_.insert(findings_.end(), more.begin(), more.end());
        for (const config_finding& finding : findings_)
            faults_.emplace(finding.file, finding.pointer);
    }

    // Whether the schema found a fault at the place or inside it. Such a part is not read any further.
    bool has_fault(const declaration_location& place) const {
        if (faults_.contains({place.file, place.pointer}))
            return true;
        const std::string inner = place.pointer + "/";
        const auto next = faults_.lower_bound({place.file, inner});
        return next != faults_.end() && next->first == place.file && next->second.starts_with(inner);
    }

    static declaration_location inside(const declaration_location& place, const std::string& suffix) {
        return {place.file, place.pointer + "/" + suffix};
    }

    void add(finding_kind kind, const declaration_location& place, std::string expected, std::string found) {
        findings_.push_back({kind, place.file, place.pointer, std::move(expected), std::move(found)});
    }

    // The list under a key of the fleet, or an empty one if it has another type.
    const json& list(const char* key) const {
        static const json empty = json::array();
        if (!fleet_.is_object() || !fleet_.contains(key) || !fleet_.at(key).is_array())
            return empty;
        return fleet_.at(key);
    }

    bool check_name(const std::string& name, const declaration_location& place, bool is_new) {
        if (!is_valid_name(name))
            add(finding_kind::out_of_range, place,
                "a name without control characters, \"/\" and outer spaces", "\"" + name + "\"");
        else if (!is_new)
            add(finding_kind::duplicate, place, "each name once", name);
        return is_valid_name(name) && is_new;
    }

    void read_names(const char* key, std::set<std::string>& names) {
        const json& entries = list(key);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto place = inside(fleet_location_, std::string{key} + "/" + std::to_string(i));
            if (has_fault(place))
                continue;
            const auto name = entries[i].get<std::string>();
            if (check_name(name, place, !names.contains(name)))
                names.insert(name);
        }
    }

    void read_services() {
        const json& entries = list("services");
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto place = inside(fleet_location_, "services/" + std::to_string(i));
            if (has_fault(place))
                continue;
            const auto name = entries[i].at("name").get<std::string>();
            if (!check_name(name, inside(place, "name"), !declarations_.services.contains(name)))
                continue;
            declarations_.services[name] =
                milliseconds{entries[i].value("fastest_task_ms", fastest_possible_task.count())};
            service_places_[name] = place;
        }
    }

    void read_defaults() {
        if (!fleet_.is_object() || !fleet_.contains("defaults") || !fleet_.at("defaults").is_object())
            return;
        read_defaults_of(scope_kind::service, declarations_.service_defaults);
        read_defaults_of(scope_kind::team, declarations_.team_defaults);
    }

    void read_defaults_of(scope_kind kind, std::map<std::string, setting_value>& defaults) {
        const std::string key{to_string(kind)};
        const json& all = fleet_.at("defaults");
        if (!all.contains(key) || !all.at(key).is_object())
            return;
        for (const std::string& name : setting_names(kind)) {
            const auto value = all.at(key).find(name);
            const auto place = inside(inside(fleet_location_, "defaults/" + key), name);
            if (value != all.at(key).end() && !has_fault(place))
                defaults[name] = setting_from_json(*value);
        }
    }

    void read_exceptions() {
        if (!exceptions_.is_array())
            return;
        for (std::size_t i = 0; i < exceptions_.size(); ++i) {
            const auto place = inside(exceptions_location_, std::to_string(i));
            if (!has_fault(place))
                read_exception(exceptions_[i], place);
        }
    }

    void read_exception(const json& object, const declaration_location& place) {
        const std::size_t before = findings_.size();
        config_exception exception;
        const auto scope = object.at("scope").items().begin();
        exception.scope = {*scope_kind_of(scope.key()), scope.value().get<std::string>()};
        exception.setting = object.at("setting").get<std::string>();
        exception.author = object.at("author").get<std::string>();
        exception.reason = object.at("reason").get<std::string>();
        check_scope(exception.scope, place);
        check_texts(exception, place);
        check_value(exception, object.at("value"), place);
        read_expiry(object, place, exception);
        check_contradiction(exception, object.at("value"), place);
        if (findings_.size() == before) {
            exception.value = setting_from_json(object.at("value"));
            declarations_.exceptions.push_back(std::move(exception));
        }
    }

    void check_scope(const config_scope& scope, const declaration_location& place) {
        const std::string kind{to_string(scope.kind)};
        const std::string key = kind + "s";
        // A list that is missing or broken has its own finding.
        if (!fleet_.is_object() || !fleet_.contains(key) || has_fault(inside(fleet_location_, key)))
            return;
        std::vector<std::string> names;
        if (scope.kind == scope_kind::service) {
            for (const auto& [name, unused] : declarations_.services)
                names.push_back(name);
        } else {
            const auto& declared = scope.kind == scope_kind::team ? declarations_.teams : declarations_.zones;
            names.assign(declared.begin(), declared.end());
        }
        if (std::find(names.begin(), names.end(), scope.name) == names.end())
            add(finding_kind::unknown_name, inside(place, "scope/" + kind),
                describe_choices(scope.name, names), scope.name);
    }

    void check_texts(const config_exception& exception, const declaration_location& place) {
        if (is_blank(exception.reason))
            add(finding_kind::missing_reason, inside(place, "reason"), "a reason that is not blank",
                "\"" + exception.reason + "\"");
        if (is_blank(exception.author))
            add(finding_kind::out_of_range, inside(place, "author"), "an author that is not blank",
                "\"" + exception.author + "\"");
    }

    // The schema of the settings applies to an object, so the value is checked as its only member.
    void check_value(const config_exception& exception, const json& value,
                     const declaration_location& place) {
        const json as_object = {{exception.setting, value}};
        for (config_finding finding : settings_check(exception.scope.kind).check(as_object, place.file, "")) {
            const bool is_unknown = finding.kind == finding_kind::unknown_key;
            const std::size_t rest = std::min(finding.pointer.size(), exception.setting.size() + 1);
            finding.pointer =
                place.pointer + (is_unknown ? "/setting" : "/value" + finding.pointer.substr(rest));
            findings_.push_back(std::move(finding));
        }
    }

    void read_expiry(const json& object, const declaration_location& place, config_exception& exception) {
        if (!object.contains("expires"))
            return;
        const auto text = object.at("expires").get<std::string>();
        exception.expires = parse_timestamp(text);
        if (!exception.expires)
            add(finding_kind::out_of_range, inside(place, "expires"), "a time such as 2027-01-31T00:00:00Z",
                "\"" + text + "\"");
        else if (now_ && *exception.expires <= *now_)
            add(finding_kind::expired, inside(place, "expires"),
                "a time after " + format_timestamp(*now_) + ", or removal of the exception", text);
    }

    void check_contradiction(const config_exception& exception, const json& value,
                             const declaration_location& place) {
        const auto [first, is_new] =
            exception_places_.emplace(std::pair{exception.scope, exception.setting}, place);
        if (is_new) {
            exception_values_[place.pointer] = &value;
            return;
        }
        const json& other = *exception_values_.at(first->second.pointer);
        const bool same = other == value;
        add(same ? finding_kind::duplicate : finding_kind::contradiction, inside(place, "value"),
            "one exception for " + exception.setting + " of " + std::string{to_string(exception.scope.kind)} +
                " " + exception.scope.name + "; " + first->second.pointer + " says " + other.dump(),
            value.dump());
    }

    // Limits that contradict each other or what backend servers can do.
    void check_limits(const std::string& name, milliseconds fastest_task) {
        const config_scope scope{scope_kind::service, name};
        const fleet_view view = service_only_view(name);
        const service_policy& policy = view.services.at(name);
        if (policy.default_deadline < fastest_task)
            add(finding_kind::unreachable_limit, place_of(scope, "default_deadline_ms"),
                "at least " + std::to_string(fastest_task.count()) + " ms, the fastest task of " + name +
                    " on any backend server",
                std::to_string(policy.default_deadline.count()));
        if (policy.max_tasks > policy.queue_limit)
            add(finding_kind::unreachable_limit, place_of(scope, "max_tasks"),
                "at most the queue_limit of " + name + ", " + std::to_string(policy.queue_limit) +
                    "; a larger job would always be refused",
                std::to_string(policy.max_tasks));
    }

    fleet_view service_only_view(const std::string& name) const {
        fleet_declarations reduced;
        reduced.service_defaults = declarations_.service_defaults;
        reduced.services[name] = fastest_possible_task;
        for (const config_exception& exception : declarations_.exceptions) {
            if (exception.scope == config_scope{scope_kind::service, name})
                reduced.exceptions.push_back(exception);
        }
        return effective_view(reduced, 0);
    }

    declaration_location place_of(const config_scope& scope, const std::string& setting) const {
        const auto found = exception_places_.find({scope, setting});
        if (found != exception_places_.end())
            return inside(found->second, "value");
        if (declarations_.service_defaults.contains(setting))
            return inside(fleet_location_, "defaults/service/" + setting);
        return service_places_.at(scope.name);
    }

    const json& fleet_;
    declaration_location fleet_location_;
    const json& exceptions_;
    declaration_location exceptions_location_;
    std::optional<wall_time> now_;
    config_findings findings_;
    std::set<std::pair<std::string, std::string>> faults_;
    fleet_declarations declarations_;
    std::map<std::string, declaration_location> service_places_;
    setting_places exception_places_;
    std::map<std::string, const json*> exception_values_;
};

} // namespace

fleet_check_result check_fleet(const json& fleet, const declaration_location& fleet_location,
                               const json& exceptions, const declaration_location& exceptions_location,
                               const std::optional<wall_time>& now) {
    return fleet_checker{fleet, fleet_location, exceptions, exceptions_location, now}.run();
}

fleet_check_result check_fleet(std::string_view fleet, std::string_view exceptions,
                               const std::optional<wall_time>& now) {
    const std::optional<json> fleet_json = parse_bounded_json(fleet, any_number_of_json_values);
    const std::optional<json> exceptions_json = parse_bounded_json(exceptions, any_number_of_json_values);
    config_findings findings;
    if (!fleet_json)
        findings.push_back({finding_kind::invalid_json, std::string{fleet_file_name}, "", "a JSON document",
                            "text that is not JSON or nests too deeply"});
    if (!exceptions_json)
        findings.push_back({finding_kind::invalid_json, std::string{exceptions_file_name}, "",
                            "a JSON document", "text that is not JSON or nests too deeply"});
    if (!findings.empty())
        return findings;
    return check_fleet(*fleet_json, {std::string{fleet_file_name}, ""}, *exceptions_json,
                       {std::string{exceptions_file_name}, ""}, now);
}

} // namespace persimmonstile
