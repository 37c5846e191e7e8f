#include "protocol/fleet_check.h"
#include "protocol/fleet_schema.h"
#include "protocol/fleet_settings.h"
#include "protocol/timestamp.h"

#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;
using testing::HasSubstr;

const wall_time now = *parse_timestamp("2026-12-04T12:00:00Z");

json fleet() {
    return json::parse(R"({
        "defaults": {"service": {"queue_limit": 5000}, "team": {"share": 2}},
        "zones": ["Ahmedabad", "Surat", "Vadodara"],
        "services": [{"name": "dispatch", "fastest_task_ms": 50}, {"name": "billing"}],
        "teams": ["pickup", "returns"]})");
}

json exception(const char* kind, const char* name, const char* setting, json value) {
    return {{"scope", {{kind, name}}},
            {"setting", setting},
            {"value", std::move(value)},
            {"author", "asha"},
            {"reason", "load test"}};
}

config_findings findings_of(const json& fleet_file, const json& exceptions) {
    auto result = check_fleet(fleet_file.dump(), exceptions.dump(), now);
    auto* const findings = std::get_if<config_findings>(&result);
    return findings == nullptr ? config_findings{} : *findings;
}

// The description of the only finding, or of all of them if there are others.
std::string only_finding(const json& fleet_file, const json& exceptions) {
    std::string text;
    for (const config_finding& finding : findings_of(fleet_file, exceptions))
        text += (text.empty() ? "" : "\n") + describe(finding);
    return text;
}

// Guards against declarations that are accepted and take no effect.
TEST(fleet_check, defaults_and_exceptions_become_effective) {
    const json exceptions = {exception("service", "dispatch", "max_tasks", 100),
                             exception("service", "billing", "idempotent_methods", {"lookup"}),
                             exception("team", "pickup", "max_running", 40),
                             exception("zone", "Surat", "in_service", false)};
    const auto checked = check_fleet(fleet().dump(), exceptions.dump(), now);
    ASSERT_TRUE(std::holds_alternative<fleet_declarations>(checked)) << only_finding(fleet(), exceptions);
    const fleet_view view = effective_view(std::get<fleet_declarations>(checked), 9);
    EXPECT_EQ(view.revision, 9U);
    EXPECT_EQ(view.services.at("dispatch").max_tasks, 100U);
    EXPECT_EQ(view.services.at("dispatch").queue_limit, 5000U);
    EXPECT_EQ(view.services.at("billing").max_tasks, 560U);
    EXPECT_EQ(view.services.at("billing").idempotent_methods, std::set<std::string>{"lookup"});
    EXPECT_EQ(view.teams.at("pickup").max_running, 40U);
    EXPECT_EQ(view.teams.at("returns").share, 2U);
    EXPECT_EQ(view.zones_out, std::set<std::string>{"Surat"});
}

// Guards against exceptions that nobody can justify later.
TEST(fleet_check, a_reason_is_required) {
    json missing = exception("zone", "Surat", "in_service", false);
    missing.erase("reason");
    EXPECT_EQ(
        only_finding(fleet(), json::array({missing})),
        "exceptions.json#/0/reason: missing_reason: expected a reason that is not blank, found nothing");
    for (const char* blank : {"", "  \t"}) {
        json exceptions = json::array({exception("zone", "Surat", "in_service", false)});
        exceptions[0]["reason"] = blank;
        EXPECT_THAT(only_finding(fleet(), exceptions),
                    HasSubstr("exceptions.json#/0/reason: missing_reason"));
    }
}

// Guards against misspelt keys, which would silently leave the default in force.
TEST(fleet_check, unknown_keys_are_reported_with_the_nearest_one) {
    json document = fleet();
    document["defaults"]["service"]["max_task"] = 5;
    document["zone"] = json::array();
    const std::string text = only_finding(document, json::array({exception("team", "pickup", "shares", 3)}));
    EXPECT_THAT(text, HasSubstr("fleet.json#/defaults/service/max_task: unknown_key"));
    EXPECT_THAT(text, HasSubstr("(nearest: max_tasks)"));
    EXPECT_THAT(text, HasSubstr("fleet.json#/zone: unknown_key"));
    EXPECT_THAT(text, HasSubstr("(nearest: zones)"));
    EXPECT_THAT(text, HasSubstr("exceptions.json#/0/setting: unknown_key: expected one of max_running, share "
                                "(nearest: share), found shares"));
}

// Guards against values that no process could apply.
TEST(fleet_check, values_out_of_range_and_of_a_wrong_type) {
    json document = fleet();
    document["defaults"]["team"]["share"] = 0;
    document["services"][0]["fastest_task_ms"] = "50";
    const std::string text = only_finding(document, {exception("service", "billing", "max_tasks", 561),
                                                     exception("zone", "Surat", "in_service", "no")});
    EXPECT_THAT(text,
                HasSubstr("fleet.json#/defaults/team/share: out_of_range: expected an integer from 1 to "
                          "1000, found 0"));
    EXPECT_THAT(text,
                HasSubstr("fleet.json#/services/0/fastest_task_ms: wrong_type: expected a value of type "
                          "integer, found \"50\""));
    EXPECT_THAT(text, HasSubstr("exceptions.json#/0/value: out_of_range: expected an integer from 1 to 560, "
                                "found 561"));
    EXPECT_THAT(text, HasSubstr("exceptions.json#/1/value: wrong_type: expected a value of type boolean"));
}

// Guards against two exceptions of which the later one would silently win.
TEST(fleet_check, exceptions_that_contradict_each_other) {
    json exceptions = {exception("zone", "Surat", "in_service", false),
                       exception("zone", "Surat", "in_service", true)};
    EXPECT_EQ(only_finding(fleet(), exceptions),
              "exceptions.json#/1/value: contradiction: expected one exception for in_service of zone Surat; "
              "/0 says false, found true");
    exceptions[1]["value"] = false;
    EXPECT_THAT(only_finding(fleet(), exceptions), HasSubstr("duplicate"));
}

// Guards against exceptions that outlive their purpose, and dates that cannot be read.
TEST(fleet_check, expired_exceptions) {
    json exceptions = json::array({exception("zone", "Surat", "in_service", false)});
    exceptions[0]["expires"] = "2026-12-04T12:00:00Z";
    EXPECT_THAT(only_finding(fleet(), exceptions), HasSubstr("exceptions.json#/0/expires: expired"));
    exceptions[0]["expires"] = "2026-12-04T12:00:01Z";
    EXPECT_EQ(only_finding(fleet(), exceptions), "");
    exceptions[0]["expires"] = "tomorrow";
    EXPECT_THAT(only_finding(fleet(), exceptions), HasSubstr("exceptions.json#/0/expires: out_of_range"));
}

// Guards against exceptions for something that does not exist.
TEST(fleet_check, names_that_are_not_declared) {
    const std::string text = only_finding(fleet(), {exception("zone", "Surta", "in_service", false),
                                                    exception("service", "x", "max_tasks", 1),
                                                    exception("team", "return", "share", 1)});
    EXPECT_THAT(text, HasSubstr("#/0/scope/zone: unknown_name: expected one of Ahmedabad, Surat, Vadodara "
                                "(nearest: Surat), found Surta"));
    EXPECT_THAT(text, HasSubstr("#/1/scope/service: unknown_name"));
    EXPECT_THAT(text, HasSubstr("#/2/scope/team: unknown_name"));
}

// Guards against limits under which every job would fail or be refused.
TEST(fleet_check, limits_that_cannot_be_met) {
    json document = fleet();
    EXPECT_THAT(
        only_finding(document, json::array({exception("service", "dispatch", "default_deadline_ms", 49)})),
        HasSubstr("exceptions.json#/0/value: unreachable_limit: expected at least 50 ms"));
    document["defaults"]["service"]["queue_limit"] = 559;
    EXPECT_THAT(only_finding(document, json::array()),
                HasSubstr("unreachable_limit: expected at most the queue_limit of dispatch, 559"));
}

// Guards against names that occur twice or could not be written into a path.
TEST(fleet_check, unusable_names) {
    json document = fleet();
    document["zones"].push_back("Surat");
    document["teams"].push_back("a/b");
    const std::string text = only_finding(document, json::array());
    EXPECT_THAT(text, HasSubstr("fleet.json#/zones/3: duplicate"));
    EXPECT_THAT(text, HasSubstr("fleet.json#/teams/2: out_of_range"));
}

// Guards against files that are not JSON, have another shape or would exhaust the stack.
TEST(fleet_check, damaged_files) {
    const std::string deep(200000, '[');
    const auto damaged = std::get<config_findings>(check_fleet("{", deep, now));
    ASSERT_EQ(damaged.size(), 2U);
    EXPECT_EQ(damaged[0].kind, finding_kind::invalid_json);
    EXPECT_EQ(damaged[1].kind, finding_kind::invalid_json);
    EXPECT_THAT(only_finding(json::array(), json::object()), HasSubstr("exceptions.json#: wrong_type"));
    json document = fleet();
    document.erase("teams");
    EXPECT_THAT(only_finding(document, json::array()), HasSubstr("fleet.json#/teams: missing_key"));
}

// Guards against a checker that throws or accepts when any single value of the files is replaced.
TEST(fleet_check, any_replaced_value_is_read_without_an_exception) {
    json exceptions = json::array({exception("zone", "Surat", "in_service", false)});
    exceptions[0]["expires"] = "2027-01-01T00:00:00Z";
    const json both = {{"fleet", fleet()}, {"exceptions", exceptions}};
    const json flat = both.flatten();
    for (const auto& item : flat.items()) {
        for (const json& replacement : {json{}, json(-1), json(1.5), json(1e30), json(""),
                                        json::array({json::object()}), json{{"a", "b"}}}) {
            json changed = both;
            changed[json::json_pointer{item.key()}] = replacement;
            const bool same = changed == both;
            EXPECT_EQ(findings_of(changed["fleet"], changed["exceptions"]).empty(), same)
                << item.key() << " " << replacement;
        }
    }
}

// Guards against a schema whose settings differ from those that take effect, and against built-in defaults
// that the schema refuses.
TEST(fleet_check, schema_and_settings_agree) {
    const json definitions = json::parse(fleet_schema()).at("definitions");
    for (const scope_kind kind : {scope_kind::service, scope_kind::team, scope_kind::zone}) {
        std::vector<std::string> keys;
        const json properties = definitions.at(std::string{to_string(kind)} + "_settings").at("properties");
        for (const auto& item : properties.items())
            keys.push_back(item.key());
        EXPECT_THAT(setting_names(kind), testing::UnorderedElementsAreArray(keys));
    }
}

std::string read_from_root(const std::string& path) {
    const std::string source = __FILE__;
    std::stringstream text;
    text << std::ifstream{source.substr(0, source.rfind("tests/")) + path}.rdbuf();
    return text.str();
}

// Guards against editor schemas that differ from the ones that are enforced.
TEST(fleet_check, schema_files_for_editors_are_up_to_date) {
    EXPECT_EQ(read_from_root("docs/schemas/fleet.schema.json"), fleet_schema());
    EXPECT_EQ(read_from_root("docs/schemas/exceptions.schema.json"), exceptions_schema());
}

// Guards against an example in the operators' page that the checker refuses.
TEST(fleet_check, the_documented_example_has_no_findings) {
    const std::string page = read_from_root("docs/configuration.md");
    std::vector<std::string> blocks;
    for (std::size_t at = page.find("```json"); at != std::string::npos; at = page.find("```json", at + 1))
        blocks.push_back(page.substr(at + 7, page.find("```", at + 7) - at - 7));
    ASSERT_EQ(blocks.size(), 2U);
    EXPECT_EQ(only_finding(json::parse(blocks[0]), json::parse(blocks[1])), "");
}

} // namespace
} // namespace persimmonstile
