#include "cli/report_load_command.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using nlohmann::json;
using ::testing::HasSubstr;

class report_load : public testing::Test {
protected:
    report_load() { std::filesystem::create_directories(folder_); }
    ~report_load() override { std::filesystem::remove_all(folder_); }

    std::string path() const { return (folder_ / "entry.log").string(); }

    void log(const std::string& message, const json& fields) {
        const json line{{"time", "2026-12-07T05:00:00.000000Z"},
                        {"process", "e1"},
                        {"level", "info"},
                        {"component", "entry"},
                        {"message", message},
                        {"fields", fields}};
        std::ofstream{path(), std::ios::app} << line.dump() << '\n';
    }

    int run(const std::vector<std::string>& args) {
        out_.str("");
        err_.str("");
        return run_report_load(args, {out_, err_});
    }
    json report() {
        EXPECT_EQ(run({"--logs", path(), "--json"}), exit_done) << err_.str();
        return json::parse(out_.str());
    }

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / ("report_load_" + std::to_string(::getpid()));
    std::ostringstream out_;
    std::ostringstream err_;
};

// Guards against jobs that are counted under another outcome than their caller got, or not at all.
TEST_F(report_load, counts_each_job_once_by_its_outcome) {
    log("entry started", {{"zone", "north"}});
    const std::vector<std::pair<std::string, json>> ends{
        {"job ended", {{"state", "completed"}}},
        {"job ended late", {{"state", "completed"}}},
        {"job failed", {{"state", "failed"}}},
        {"refused a job that found no room", {{"total_us", 400}}},
        {"refused a job that found no room", {{"total_us", 300'000}}},
        {"dropped a job whose callers have left", json::object()},
    };
    int number = 0;
    for (const auto& [message, extra] : ends) {
        const std::string id = "job" + std::to_string(++number);
        log("accepted a job", {{"job", id}, {"queue", "form"}, {"tasks", 8}});
        json fields = extra;
        fields["job"] = id;
        log(message, fields);
    }
    log("accepted a job", {{"job", "unended"}, {"queue", "form"}, {"tasks", 2}});

    const json result = report();
    const json expected{{"in_time", 1},       {"late", 1},    {"failed", 1},      {"refused_on_arrival", 1},
                        {"refused_later", 1}, {"aborted", 0}, {"caller_left", 1}, {"open", 1}};
    EXPECT_EQ(result.at("jobs_by_queue").at("form"), expected);
    EXPECT_EQ(result.at("jobs_by_zone").at("north"), expected);
    EXPECT_EQ(result.at("jobs_by_entry").at("e1"), expected);
    EXPECT_EQ(result.at("jobs_by_size").at("1-2").at("open"), 1);
    EXPECT_EQ(result.at("jobs_by_size").at("5-8").at("in_time"), 1);
}

// Guards against capacity figures in other units than core-seconds.
TEST_F(report_load, adds_up_capacity_in_core_seconds) {
    log("accepted a job", {{"job", "a"}, {"queue", "form"}, {"tasks", 1}});
    log("placed tasks", {{"job", "a"}, {"agent", "a1"}, {"off_rack_millicore_ms", 3'000'000}});
    log("run ended without a result", {{"job", "a"}, {"millicore_ms", 500'000}});
    log("tasks wait for capacity", {{"free_millicores", 40'000}, {"interval_ms", 100}});
    const json result = report();
    EXPECT_DOUBLE_EQ(result.at("core_seconds").at("off_rack"), 3.0);
    EXPECT_DOUBLE_EQ(result.at("core_seconds").at("discarded"), 0.5);
    EXPECT_EQ(result.at("discarded_runs"), 1);
    EXPECT_DOUBLE_EQ(result.at("core_seconds").at("idle_while_tasks_waited_by_entry").at("e1"), 4.0);
}

// Guards against an empty table that looks like a day without jobs, and against damaged files that go
// unnoticed.
TEST_F(report_load, reports_missing_and_damaged_files) {
    EXPECT_EQ(run({"--logs", path()}), exit_findings);
    EXPECT_THAT(err_.str(), HasSubstr("a readable log file"));
    log("accepted a job", {{"job", "a"}, {"queue", "form"}, {"tasks", 1}});
    std::ofstream{path(), std::ios::app} << "{broken\n";
    EXPECT_EQ(run({"--logs", path()}), exit_findings);
    EXPECT_THAT(err_.str(), HasSubstr("entry.log:2"));
    EXPECT_THAT(out_.str(), HasSubstr("form"));
    EXPECT_EQ(run({}), exit_usage);
}

} // namespace
} // namespace persimmonstile
