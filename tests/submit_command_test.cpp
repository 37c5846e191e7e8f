#include "cli/submit_command.h"
#include "cli/uuid_v7.h"
#include "tests/scripted_http_server.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile {
namespace {

using json = nlohmann::json;

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

command_result submit(std::vector<std::string> args) {
    std::ostringstream out;
    std::ostringstream err;
    const int code = run_submit(args, {out, err});
    return {code, out.str(), err.str()};
}

std::string id_in(const scripted_request& request) {
    const std::string prefix = "/v1/jobs/";
    return request.target.substr(prefix.size(), request.target.find('?') - prefix.size());
}

scripted_answer complete(const scripted_request& request, std::size_t answers) {
    const json outcome{{"job", id_in(request)}, {"outcome", "complete"}, {"answers", json(answers, 1)}};
    return {200, "", outcome.dump()};
}

// Guards against a submission that differs from the published interface, or gives up on 202.
TEST(submit_command, submits_the_same_job_until_it_has_ended) {
    std::vector<scripted_request> requests;
    const scripted_http_server entry{[&](const scripted_request& request) {
        requests.push_back(request);
        return requests.size() == 1 ? scripted_answer{202, "", "{}"} : complete(request, 2);
    }};
    const auto result = submit({"--entry", entry.url(), "--service", "forms", "--tasks", "2", "--run-ms", "7",
                                "--team", "north", "--deadline-ms", "900", "--id", "job-1"});
    EXPECT_EQ(result.code, exit_done) << result.err;
    EXPECT_NE(result.out.find("job job-1 complete: 2 answers"), std::string::npos) << result.out;
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[0].method, "PUT");
    EXPECT_EQ(requests[0].target, "/v1/jobs/job-1?wait_ms=10000");
    EXPECT_EQ(requests[1].body, requests[0].body);
    const json body = json::parse(requests[0].body);
    EXPECT_EQ(body.at("service"), "forms");
    EXPECT_EQ(body.at("team"), "north");
    EXPECT_EQ(body.at("deadline_ms"), 900);
    EXPECT_EQ(body.at("tasks"), json::parse(R"([{"task":0,"run_ms":7},{"task":1,"run_ms":7}])"));
}

// Guards against exit code 0 for a job that did not complete, and against an unsaid retry time.
TEST(submit_command, a_refusal_is_a_finding) {
    const scripted_http_server entry{[](const scripted_request&) {
        return scripted_answer{503, "Retry-After: 2\r\n",
                               R"({"outcome":"failed","reason":"not_run","detail":"queue"})"};
    }};
    const auto result = submit({"--entry", entry.url(), "--service", "forms", "--tasks", "2"});
    EXPECT_EQ(result.code, exit_findings);
    EXPECT_NE(result.out.find("status 503: not_run: queue (retry after 2 s)"), std::string::npos)
        << result.out;
}

// Guards against a partial answer that is taken for a complete one.
TEST(submit_command, an_answer_with_missing_tasks_is_a_finding) {
    const scripted_http_server entry{[](const scripted_request& request) {
        return complete(request, 1);
    }};
    EXPECT_EQ(submit({"--entry", entry.url(), "--service", "forms", "--tasks", "2"}).code, exit_findings);
}

// Guards against tasks from a file that are dropped or reordered.
TEST(submit_command, reads_tasks_from_a_file) {
    const std::string path = testing::TempDir() + std::to_string(getpid()) + "_tasks.json";
    std::ofstream{path} << R"([{"a":1},{"b":2}])";
    std::string body;
    const scripted_http_server entry{[&](const scripted_request& request) {
        body = request.body;
        return complete(request, 2);
    }};
    const auto result = submit({"--entry", entry.url(), "--service", "forms", "--file", path, "--json"});
    EXPECT_EQ(result.code, exit_done) << result.err;
    EXPECT_EQ(json::parse(body).at("tasks"), json::parse(R"([{"a":1},{"b":2}])"));
    EXPECT_EQ(json::parse(result.out).at("outcome"), "complete");
    std::filesystem::remove(path);
}

// Guards against a call that starts with missing or contradictory options.
TEST(submit_command, reports_usage_errors) {
    EXPECT_EQ(submit({"--service", "forms", "--tasks", "1"}).code, exit_usage);
    EXPECT_EQ(submit({"--entry", "http://127.0.0.1:1", "--service", "forms"}).code, exit_usage);
    EXPECT_EQ(submit({"--entry", "http://127.0.0.1:1", "--service", "forms", "--tasks", "561"}).code,
              exit_usage);
    EXPECT_EQ(submit({"--entry", "x", "--service", "forms", "--tasks", "1", "--id", "a/b"}).code, exit_usage);
    EXPECT_EQ(submit({"--help"}).code, exit_done);
}

// Guards against an unreachable entry that is not told apart from a failed job, and a lost id.
TEST(submit_command, an_unreachable_entry_names_the_id_to_repeat) {
    const auto result =
        submit({"--entry", "http://127.0.0.1:1", "--service", "forms", "--tasks", "1", "--id", "job-7"});
    EXPECT_EQ(result.code, exit_findings);
    EXPECT_NE(result.err.find("repeat with --id job-7"), std::string::npos) << result.err;
}

// Guards against an id that owners would not recognise as a UUIDv7, compared with the example of RFC 9562.
TEST(uuid_v7, matches_the_example_of_the_rfc) {
    const wall_time time{std::chrono::milliseconds{0x017F22E279B0}};
    EXPECT_EQ(make_uuid_v7(time, 0xCC3, 0x18C4DC0C0C07398F), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    EXPECT_NE(make_uuid_v7(time), make_uuid_v7(time));
}

} // namespace
} // namespace persimmonstile
