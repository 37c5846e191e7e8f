#include "daemon/daemon_options.h"
#include "protocol/schema_findings.h"
#include "protocol/settings_reader.h"

#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr const char* entry_text = R"({"role":"entry","name":"e1","zone":"João Pessoa",
    "peer_address":"127.0.0.1:7000","store_endpoints":["http://127.0.0.1:2379"]})";

findings findings_of(std::string_view text, const std::vector<settings_override>& overrides = {}) {
    auto result = parse_settings("s.json", text, overrides);
    return std::holds_alternative<findings>(result) ? std::get<findings>(result) : findings{};
}

const finding* at(const findings& all, const std::string& pointer) {
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const finding& item) { return item.pointer == pointer; });
    return found == all.end() ? nullptr : &*found;
}

// Guards against settings that are dropped on the way from the file to the daemon.
TEST(settings_reader, reads_members_and_keeps_defaults) {
    const auto result =
        parse_settings("s.json", entry_text, {{"threads", "4"}, {"peers", "127.0.0.1:1,[::1]:2"}});
    ASSERT_TRUE(std::holds_alternative<daemon_settings>(result));
    const auto& settings = std::get<daemon_settings>(result);
    EXPECT_EQ(settings.role, daemon_role::entry);
    EXPECT_EQ(settings.zone, "João Pessoa");
    EXPECT_EQ(settings.threads, 4U);
    EXPECT_EQ(settings.peers, (std::vector<std::string>{"127.0.0.1:1", "[::1]:2"}));
    EXPECT_EQ(settings.log_level, "info");
}

// Guards against a report that stops at the first fault and makes operators repeat --check.
TEST(settings_reader, reports_all_findings_together) {
    const findings all = findings_of(R"({"role":"entry","name":"a b","threds":3,"threads":"x",
        "http_address":"localhost:80","peers":["127.0.0.1:0",7],"store_endpoints":[],"log_level":"loud"})");
    for (const char* pointer : {"/name", "/zone", "/threds", "/threads", "/http_address", "/peers/0",
                                "/peers/1", "/store_endpoints", "/peer_address", "/log_level"}) {
        EXPECT_NE(at(all, pointer), nullptr) << pointer;
    }
    EXPECT_EQ(all.size(), 10U);
    EXPECT_THAT(at(all, "/threds")->expected, HasSubstr("\"threads\""));
    EXPECT_EQ(at(all, "/zone")->found, "nothing");
    EXPECT_EQ(to_text(*at(all, "/threads")),
              "s.json /threads: expected an integer from 1 to 256, found \"x\"");
    EXPECT_EQ(to_json(*at(all, "/peers/1")).at("found"), "7");
}

// Guards against scheduling features that are on without having been asked for, or stay off.
TEST(settings_reader, scheduling_features_are_off_unless_they_are_set) {
    const auto unset = parse_settings("s.json", entry_text);
    ASSERT_TRUE(std::holds_alternative<daemon_settings>(unset));
    const auto& defaults = std::get<daemon_settings>(unset);
    EXPECT_EQ(defaults.admission, admission_kind::wait);
    EXPECT_EQ(defaults.placement, placement_kind::free_capacity);
    EXPECT_EQ(defaults.run_queue, run_queue_kind::arrival);
    EXPECT_EQ(defaults.borrow_agents, agent_borrowing::never);

    const auto set = parse_settings("s.json", entry_text,
                                    {{"admission", "forecast"},
                                     {"placement", "forecast"},
                                     {"run_queue", "urgency"},
                                     {"borrow_agents", "unreachable"}});
    ASSERT_TRUE(std::holds_alternative<daemon_settings>(set));
    const auto& chosen = std::get<daemon_settings>(set);
    EXPECT_EQ(chosen.admission, admission_kind::forecast);
    EXPECT_EQ(chosen.placement, placement_kind::forecast);
    EXPECT_EQ(chosen.run_queue, run_queue_kind::urgency);
    EXPECT_EQ(chosen.borrow_agents, agent_borrowing::unreachable);

    const findings all = findings_of(entry_text, {{"admission", "later"}, {"borrow_agents", "yes"}});
    EXPECT_NE(at(all, "/admission"), nullptr);
    EXPECT_NE(at(all, "/borrow_agents"), nullptr);
}

// Guards against a daemon that starts without knowing any entry or the store.
TEST(settings_reader, requires_what_the_role_needs) {
    EXPECT_NE(at(findings_of(R"({"role":"agent","name":"a","zone":"z"})"), "/peers"), nullptr);
    EXPECT_THAT(findings_of(R"({"role":"agent","name":"a","zone":"z","peers":["127.0.0.1:1"]})"), IsEmpty());
    EXPECT_NE(at(findings_of(R"({"role":"entry","name":"a","zone":"z"})"), "/store_endpoints"), nullptr);
}

// Guards against numbers out of range and a second trace target that would be ignored silently.
TEST(settings_reader, checks_ranges_and_exclusive_settings) {
    EXPECT_NE(at(findings_of(entry_text, {{"threads", "0"}}), "/threads"), nullptr);
    EXPECT_NE(at(findings_of(entry_text, {{"threads", "99999999999999999999"}}), "/threads"), nullptr);
    EXPECT_NE(at(findings_of(entry_text, {{"trace_url", "http://host:1"}}), "/trace_url"), nullptr);
    const findings both = findings_of(entry_text, {{"trace_url", "http://127.0.0.1:1"}, {"trace_file", "t"}});
    ASSERT_EQ(both.size(), 1U);
    EXPECT_EQ(both.front().file, "command line");
}

// Guards against syntax errors that do not say where they are.
TEST(settings_reader, names_line_and_column_of_malformed_json) {
    const findings all = findings_of("{\n  \"role\": entry\n}");
    ASSERT_EQ(all.size(), 1U);
    EXPECT_THAT(all.front().found, HasSubstr("line 2, column 11"));
    EXPECT_EQ(findings_of("[]").size(), 1U);
    EXPECT_EQ(findings_of("").size(), 1U);
}

// Guards against two values for one setting, of which one is ignored silently.
TEST(settings_reader, refuses_duplicate_keys) {
    const findings all = findings_of(R"({"role":"agent","threads":1,"name":"a","threads":2,"name":"b"})");
    ASSERT_EQ(all.size(), 2U);
    EXPECT_EQ(all.front().found, "\"threads\" twice");
    EXPECT_TRUE(std::holds_alternative<nlohmann::json>(parse_json("f", R"([{"a":1},{"a":{"a":2}}])")));
}

// Guards against an unreadable file that is taken for an empty one.
TEST(settings_reader, reports_an_unreadable_file) {
    for (const char* path : {"/nonexistent/settings.json", "/"}) {
        const auto result = read_settings(path);
        ASSERT_TRUE(std::holds_alternative<findings>(result)) << path;
        EXPECT_EQ(std::get<findings>(result).front().file, path);
        EXPECT_EQ(std::get<findings>(result).size(), 1U);
    }
}

// Guards against a setting that has no command line option.
TEST(daemon_options, has_one_option_for_each_setting) {
    const auto result = parse_daemon_options(
        {"--settings", "s.json", "--check", "--log-level=debug", "--store-endpoints", "http://127.0.0.1:1"});
    ASSERT_TRUE(std::holds_alternative<daemon_options>(result));
    const auto& options = std::get<daemon_options>(result);
    EXPECT_EQ(options.settings_path, "s.json");
    EXPECT_TRUE(options.check);
    ASSERT_EQ(options.overrides.size(), 2U);
    EXPECT_EQ(options.overrides[0].member, "log_level");
    EXPECT_EQ(options.overrides[0].text, "debug");
    EXPECT_THAT(daemon_help(), HasSubstr("--shutdown-timeout-ms"));
}

// Guards against misspelt options that are ignored.
TEST(daemon_options, refuses_unknown_and_incomplete_options) {
    const auto unknown = parse_daemon_options({"--lob-level", "debug"});
    ASSERT_TRUE(std::holds_alternative<usage_error>(unknown));
    EXPECT_THAT(std::get<usage_error>(unknown).detail, HasSubstr("--log-level"));
    EXPECT_TRUE(std::holds_alternative<usage_error>(parse_daemon_options({"--settings"})));
    EXPECT_TRUE(std::holds_alternative<usage_error>(parse_daemon_options({"stray"})));
}

} // namespace
} // namespace persimmonstile
