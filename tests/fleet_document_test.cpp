#include "protocol/fleet_check.h"
#include "protocol/fleet_difference.h"
#include "protocol/fleet_document.h"
#include "protocol/timestamp.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

const wall_time start = *parse_timestamp("2026-12-04T00:00:00Z");

fleet_declarations declarations(int teams) {
    fleet_declarations result;
    result.zones = {"Recife", "Natal", "João Pessoa"};
    result.services = {{"form", milliseconds{20}}};
    result.service_defaults["max_tasks"] = std::uint64_t{200};
    for (int i = 0; i < teams; ++i)
        result.teams.insert("team-" + std::to_string(i));
    return result;
}

config_exception exception_for(const std::string& team, std::uint64_t limit) {
    return {{scope_kind::team, team}, "max_running", limit, "livia", "quota for the tax season", {}};
}

change_metadata metadata(int change) {
    return {"livia", "change " + std::to_string(change), start + std::chrono::milliseconds{3756} * change,
            "tool/1", "op-" + std::to_string(change)};
}

fleet_document reread(const fleet_document& document) {
    return std::get<fleet_document>(parse_fleet_document(encode_fleet_document(document)));
}

// Guards against parts of the document that are lost in the store.
TEST(fleet_document, round_trip_and_earlier_revisions) {
    fleet_declarations first = declarations(2);
    first.exceptions = {exception_for("team-1", 5)};
    fleet_declarations second = declarations(3);
    second.exceptions = {exception_for("team-1", 6)};
    second.zones.erase("Natal");
    fleet_document document = next_document({}, first, metadata(1));
    document = reread(next_document(std::move(document), second, metadata(2)));
    EXPECT_EQ(document.revision, 2U);
    EXPECT_EQ(document.declarations, second);
    EXPECT_EQ(document.metadata.reason, "change 2");
    EXPECT_EQ(document.history.size(), 2U);
    const std::string path = exception_path({scope_kind::team, "team-1"}, "max_running");
    EXPECT_EQ(document.origins.at(path).revision, 2U);
    const auto earlier = document_at(document, 1);
    ASSERT_TRUE(earlier);
    EXPECT_EQ(earlier->declarations, first);
    EXPECT_EQ(earlier->origins.at(path).revision, 1U);
    EXPECT_EQ(earlier->metadata.reason, "change 1");
    EXPECT_EQ(document_at(document, 0)->declarations, fleet_declarations{});
    EXPECT_FALSE(document_at(document, 3));
}

// Guards against a daemon that adopts a damaged document, or that stops at one.
TEST(fleet_document, daemons_check_what_they_receive) {
    const fleet_document document = next_document({}, declarations(1), metadata(1));
    const std::string content = encode_for_daemons(document);
    const auto view = std::get<fleet_view>(decode_fleet_document(content));
    EXPECT_EQ(view.revision, 1U);
    EXPECT_EQ(view.services.at("form").max_tasks, 200U);
    EXPECT_TRUE(std::holds_alternative<fleet_view>(decode_fleet_document(encode_fleet_document(document))));
    for (std::size_t length = 0; length < content.size(); ++length)
        EXPECT_TRUE(
            std::holds_alternative<config_findings>(decode_fleet_document(content.substr(0, length))));
    json bad = json::parse(content);
    bad["declarations"]["fleet"]["defaults"]["service"]["max_tasks"] = 0;
    const auto findings = std::get<config_findings>(decode_fleet_document(bad.dump()));
    EXPECT_EQ(findings.at(0).pointer, "/declarations/fleet/defaults/service/max_tasks");
    const json whole = json::parse(encode_fleet_document(document));
    const json flat = whole.flatten();
    for (const auto& item : flat.items()) {
        for (const json& replacement : {json{}, json(-1), json(""), json{{"a", json::array()}}}) {
            json changed = whole;
            changed[json::json_pointer{item.key()}] = replacement;
            EXPECT_NO_THROW(decode_fleet_document(changed.dump())) << item.key();
        }
    }
}

// Declarations in which every team has an exception of its own.
fleet_declarations with_exceptions(int teams) {
    fleet_declarations result = declarations(teams);
    for (const std::string& team : result.teams)
        result.exceptions.push_back(exception_for(team, 1));
    return result;
}

fleet_document after_changes(fleet_document document, fleet_declarations current, int changes) {
    for (int change = 0; change < changes; ++change) {
        const std::size_t changed = static_cast<std::size_t>(change) % current.exceptions.size();
        current.exceptions[changed].value = static_cast<std::uint64_t>(change + 2);
        document = next_document(std::move(document), current, metadata(change));
    }
    return document;
}

// Guards against a history that grows without bound, loses its newest records, or does not say how far back
// it reaches, over a day of the target's changes.
TEST(fleet_document, history_stays_bounded_at_a_day_of_changes) {
    const fleet_document document = after_changes({}, with_exceptions(10), 23000);
    EXPECT_EQ(document.revision, 23000U);
    const std::string content = encode_fleet_document(document);
    EXPECT_LT(content.size(), 1024U * 1024U / 4);
    const json stored = json::parse(content);
    EXPECT_EQ(stored["history"]["reaches_back_to"], document.reaches_back_to());
    EXPECT_LT(document.reaches_back_to(), document.revision - 100);
    EXPECT_EQ(document.history.back().revision, document.revision);
    const auto oldest = document_at(document, document.reaches_back_to());
    ASSERT_TRUE(oldest);
    // Change n, which makes revision n + 1, sets exception n mod 10 to n + 2.
    const std::uint64_t last_change = document.reaches_back_to() - 1;
    const auto& changed = oldest->declarations.exceptions.at(last_change % 10);
    EXPECT_EQ(std::get<std::uint64_t>(changed.value), last_change + 2);
    EXPECT_FALSE(document_at(document, document.reaches_back_to() - 1));
    RecordProperty("document_bytes", static_cast<int>(content.size()));
    RecordProperty("history_records", static_cast<int>(document.history.size()));
}

// Guards against a document that does not fit into the store with the target's 670 teams, all of them with an
// exception, and against one change that replaces everything and fills the history by itself.
TEST(fleet_document, a_document_of_the_targets_size_fits_into_the_store) {
    fleet_document document = next_document({}, with_exceptions(670), metadata(1));
    EXPECT_TRUE(document_at(document, 1));
    document = after_changes(std::move(document), with_exceptions(670), 500);
    const std::string content = encode_fleet_document(document);
    EXPECT_LT(content.size(), 1024U * 1024U / 2);
    EXPECT_EQ(std::get<fleet_view>(decode_fleet_document(content)).teams.size(), 670U);
    RecordProperty("document_bytes", static_cast<int>(content.size()));
    RecordProperty("daemon_bytes", static_cast<int>(encode_for_daemons(document).size()));
    RecordProperty("history_records", static_cast<int>(document.history.size()));
}

// Guards against a plan that leaves out what a change of a default touches.
TEST(fleet_document, affected_scopes) {
    const fleet_declarations before = declarations(2);
    fleet_declarations after = declarations(2);
    after.team_defaults["share"] = std::uint64_t{3};
    after.zones.insert("Olinda");
    const auto changes = difference(flatten(before), flatten(after));
    const std::set<config_scope> expected = {
        {scope_kind::team, "team-0"}, {scope_kind::team, "team-1"}, {scope_kind::zone, "Olinda"}};
    EXPECT_EQ(affected_scopes(changes, before, after), expected);
}

// Guards against dates that are accepted and mean something else.
TEST(fleet_document, timestamps) {
    EXPECT_EQ(format_timestamp(*parse_timestamp("2026-12-04T03:08:31.5Z")), "2026-12-04T03:08:31.500Z");
    for (const char* bad : {"", "2026-02-30T00:00:00Z", "2026-12-04T24:00:00Z", "2026-12-04T03:08:31+01:00",
                            "2026-12-04T03:08:31.1234Z", "2026-12-04 03:08:31Z"})
        EXPECT_FALSE(parse_timestamp(bad)) << bad;
}

} // namespace
} // namespace persimmonstile
