#include "cli/command_line.h"
#include "cli/command_list.h"
#include "cli/status_command.h"
#include "cli/text_table.h"
#include "tests/one_shot_server.h"

#include <set>
#include <sstream>
#include <stdexcept>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using ::testing::HasSubstr;

int print_args(const std::vector<std::string>& args, command_output output) {
    for (const std::string& arg : args) {
        output.out << '[' << arg << ']';
    }
    return exit_store_unreachable;
}

int fail(const std::vector<std::string>& /*args*/, command_output /*output*/) {
    throw std::runtime_error("no such thing");
}

constexpr std::array sample_commands{
    command{"check", "checks", &print_args}, command{"zone", "zones", &print_args},
    command{"explain job", "explains", &print_args}, command{"explain zone", "explains", &print_args},
    command{"fail", "fails", &fail}};

struct run_result {
    int code = 0;
    std::string out;
    std::string err;
};

run_result run(const std::vector<std::string>& words) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = run_command_line(sample_commands, words, {out, err});
    return {code, out.str(), err.str()};
}

// Guards against lost arguments and exit codes of one-word and two-word commands.
TEST(command_line, dispatches_one_and_two_words) {
    EXPECT_EQ(run({"check", "a", "--json"}).out, "[a][--json]");
    EXPECT_EQ(run({"check"}).code, exit_store_unreachable);
    EXPECT_EQ(run({"explain", "job", "id"}).out, "[id]");
    EXPECT_EQ(run({"zone", "out"}).out, "[out]");
}

// Guards against an unknown command that gives no hint or the wrong exit code.
TEST(command_line, suggests_the_nearest_command) {
    EXPECT_THAT(run({"chekc", "dir"}).err, HasSubstr("did you mean \"check\"?"));
    EXPECT_THAT(run({"explain", "jbo"}).err, HasSubstr("did you mean \"explain job\"?"));
    EXPECT_THAT(run({"explain"}).err, HasSubstr("there is explain job, explain zone"));
    EXPECT_THAT(run({"explian"}).err, HasSubstr("did you mean \"explain\"?"));
    EXPECT_EQ(run({"chekc"}).code, exit_usage);
    EXPECT_EQ(run({"--chekc"}).code, exit_usage);
}

// Guards against help that leaves out a command, and usage errors on standard output, where a script reads.
TEST(command_line, prints_help_and_version) {
    const run_result help = run({"--help"});
    EXPECT_EQ(help.code, exit_done);
    for (const command& item : sample_commands) {
        EXPECT_THAT(help.out, HasSubstr(std::string{item.name}));
    }
    EXPECT_THAT(run({"--version"}).out, HasSubstr(PERSIMMONSTILE_VERSION));
    EXPECT_EQ(run({}).code, exit_usage);
    EXPECT_EQ(run({}).out, "");
}

// Guards against a command that aborts the process without a message.
TEST(command_line, reports_exceptions) {
    const run_result failed = run({"fail"});
    EXPECT_EQ(failed.code, exit_findings);
    EXPECT_EQ(failed.err, "fail: no such thing\n");
}

// Guards against two commands under one name, of which one cannot be reached.
TEST(command_list, has_unique_names) {
    std::set<std::string_view> names;
    for (const command& item : command_list()) {
        EXPECT_TRUE(names.insert(item.name).second) << item.name;
    }
}

// Guards against columns that shift after names outside ASCII.
TEST(text_table, aligns_by_characters) {
    text_table table{{"ZONE", "N"}};
    table.add_row({"João Pessoa", "1"});
    table.add_row({"Natal", "2"});
    EXPECT_EQ(table.text(), "ZONE         N\nJoão Pessoa  1\nNatal        2\n");
}

constexpr const char* status_body =
    R"({"name":"e1","revision":7,"table_version":3,"partitions":32,"in_force":true,
    "draining":false,"active_jobs":2,"waiting_tasks":11,"agents":[{"name":"a1"},{"name":"a2"}],"new":1})";

run_result status(const std::vector<std::string>& args) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = run_status(args, {out, err});
    return {code, out.str(), err.str()};
}

// Guards against reading another resource or other members than an entry serves.
TEST(status_command, prints_a_table_and_json) {
    one_shot_server entry;
    auto request = entry.serve("200 OK", status_body);
    const run_result table = status({"--entry", entry.url() + "/"});
    EXPECT_TRUE(request.get().starts_with("GET /v1/status HTTP/1.1\r\n"));
    EXPECT_EQ(table.code, exit_done) << table.err;
    EXPECT_THAT(table.out, HasSubstr("  e1    7         yes       3      32/64       2       2     11"));
    request = entry.serve("200 OK", status_body);
    const auto json = nlohmann::json::parse(status({"--entry", entry.url(), "--json"}).out);
    EXPECT_EQ(json.at(0).at("entry"), entry.url());
    EXPECT_EQ(json.at(0).at("waiting_tasks"), 11);
    request.get();
}

// Guards against an entry that is down or is no entry and hides the others.
TEST(status_command, reports_what_it_cannot_read_and_shows_the_rest) {
    one_shot_server good;
    one_shot_server other;
    auto answered = good.serve("200 OK", status_body);
    auto wrong = other.serve("200 OK", R"({"name":1})");
    const run_result result = status({"--entry", other.url(), good.url()});
    answered.get();
    wrong.get();
    EXPECT_EQ(result.code, exit_findings);
    EXPECT_THAT(result.out, HasSubstr("e1"));
    EXPECT_THAT(result.err, HasSubstr("/v1/status /revision: expected a revision, found nothing"));
    wrong = other.serve("503 Unavailable");
    EXPECT_THAT(status({"--entry", other.url()}).err, HasSubstr("found 503"));
    wrong.get();
    EXPECT_EQ(status({}).code, exit_usage);
    EXPECT_EQ(status({"--etnry", "x"}).code, exit_usage);
}

} // namespace
} // namespace persimmonstile
