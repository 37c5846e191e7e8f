#include "cli/submit_command.h"

#include "cli/http_call.h"
#include "cli/uuid_v7.h"
#include "state/ids.h"
#include "state/limits.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <optional>
#include <ostream>
#include <stdexcept>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr long status_complete = 200;
constexpr long status_not_ended = 202;

// The entry answers 202 after this time, so that a lost connection is noticed and the call repeated.
constexpr std::chrono::milliseconds wait_per_call{10000};
constexpr std::chrono::milliseconds call_margin{2000};

struct submission {
    std::string entry;
    std::string id;
    json body;
    std::chrono::milliseconds timeout{0};
    bool as_json = false;
};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile submit", "Submits one job and prints its outcome."};
    options.add_options()("help", "Print this help");
    options.add_options()("entry", "Base URL of an entry", cxxopts::value<std::string>());
    options.add_options()("service", "Service", cxxopts::value<std::string>());
    options.add_options()("tasks", "Number of equal tasks", cxxopts::value<std::size_t>());
    options.add_options()("run-ms", "Value of run_ms in each of them",
                          cxxopts::value<std::uint32_t>()->default_value("50"));
    options.add_options()("file", "JSON file with an array of tasks", cxxopts::value<std::string>());
    options.add_options()("id", "Job id; default is a new UUIDv7", cxxopts::value<std::string>());
    options.add_options()("team", "Team", cxxopts::value<std::string>());
    options.add_options()("deadline-ms", "Deadline of the job", cxxopts::value<std::uint64_t>());
    options.add_options()("timeout-ms", "Longest wait for the outcome",
                          cxxopts::value<std::uint64_t>()->default_value("60000"));
    options.add_options()("json", "Print the outcome as JSON");
    return options;
}

json tasks_from_file(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        throw std::invalid_argument("cannot read " + path);
    }
    json tasks = json::parse(file, nullptr, false);
    if (!tasks.is_array() || tasks.empty()) {
        throw std::invalid_argument(path + " does not contain a JSON array with at least one task");
    }
    return tasks;
}

json equal_tasks(std::size_t count, std::uint32_t run_ms) {
    json tasks = json::array();
    for (std::size_t i = 0; i < count; ++i) {
        tasks.push_back({{"task", i}, {"run_ms", run_ms}});
    }
    return tasks;
}

json tasks_from(const cxxopts::ParseResult& parsed) {
    if (parsed.count("tasks") + parsed.count("file") != 1) {
        throw std::invalid_argument("give either --tasks or --file");
    }
    if (parsed.count("file") > 0) {
        return tasks_from_file(parsed["file"].as<std::string>());
    }
    const std::size_t count = parsed["tasks"].as<std::size_t>();
    if (count == 0 || count > max_tasks_per_job) {
        throw std::invalid_argument("--tasks must be from 1 to " + std::to_string(max_tasks_per_job));
    }
    return equal_tasks(count, parsed["run-ms"].as<std::uint32_t>());
}

submission submission_from(const cxxopts::ParseResult& parsed) {
    submission result;
    for (const char* name : {"entry", "service"}) {
        if (parsed.count(name) == 0) {
            throw std::invalid_argument(std::string{"--"} + name + " is required");
        }
    }
    result.entry = parsed["entry"].as<std::string>();
    result.id = parsed.count("id") > 0 ? parsed["id"].as<std::string>()
                                       : make_uuid_v7(std::chrono::system_clock::now());
    if (!is_valid_job_id(result.id)) {
        throw std::invalid_argument("--id must be 1 to " + std::to_string(max_job_id_length) +
                                    " characters of [A-Za-z0-9._-]");
    }
    result.body = {{"service", parsed["service"].as<std::string>()}, {"tasks", tasks_from(parsed)}};
    if (parsed.count("team") > 0) {
        result.body["team"] = parsed["team"].as<std::string>();
    }
    if (parsed.count("deadline-ms") > 0) {
        result.body["deadline_ms"] = parsed["deadline-ms"].as<std::uint64_t>();
    }
    result.timeout = std::chrono::milliseconds{parsed["timeout-ms"].as<std::uint64_t>()};
    result.as_json = parsed.count("json") > 0;
    return result;
}

std::variant<call_answer, call_error> put_job(const submission& job, std::chrono::milliseconds wait) {
    http_call call;
    call.method = "PUT";
    call.url = job.entry + "/v1/jobs/" + job.id + "?wait_ms=" + std::to_string(wait.count());
    call.body = job.body.dump();
    call.timeout = wait + call_margin;
    return perform(call);
}

// Repeats the same submission until the job has ended, which the job id makes safe. After a lost answer the
// call is repeated too. Returns the last result.
std::variant<call_answer, call_error> put_until_ended(const submission& job) {
    const steady::time_point deadline = steady::now() + job.timeout;
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady::now());
        auto result = put_job(job, std::clamp(left, std::chrono::milliseconds{0}, wait_per_call));
        const auto* answer = std::get_if<call_answer>(&result);
        const bool is_open = answer != nullptr && answer->status == status_not_ended;
        if (!is_open || steady::now() >= deadline) {
            return result;
        }
    }
}

int report_complete(const submission& job, const json& outcome, steady::duration elapsed,
                    command_output output) {
    const std::size_t expected = job.body.at("tasks").size();
    const json answers = outcome.value("answers", json::array());
    if (outcome.value("job", "") != job.id || answers.size() != expected) {
        output.err << "the outcome does not fit the job: " << answers.size() << " answers for " << expected
                   << " tasks of job " << job.id << '\n';
        return exit_findings;
    }
    if (!job.as_json) {
        const auto elapsed_ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
        output.out << "job " << job.id << " complete: " << expected << " answers in " << elapsed_ms
                   << " ms\n";
    }
    return exit_done;
}

// Problem details and failed outcomes name the reason and the detail.
int report_failed(const submission& job, const call_answer& answer, const json& outcome,
                  command_output output) {
    if (job.as_json) {
        return exit_findings;
    }
    const std::string reason = outcome.value("reason", outcome.value("title", "no reason given"));
    output.out << "job " << job.id << " failed with status " << answer.status << ": " << reason;
    const std::string detail = outcome.value("detail", "");
    if (!detail.empty()) {
        output.out << ": " << detail;
    }
    if (!answer.retry_after.empty()) {
        output.out << " (retry after " << answer.retry_after << " s)";
    }
    output.out << '\n';
    return exit_findings;
}

int submit(const submission& job, command_output output) {
    const steady::time_point start = steady::now();
    const auto result = put_until_ended(job);
    if (const auto* error = std::get_if<call_error>(&result)) {
        output.err << "no answer from " << job.entry << " for job " << job.id << ": " << error->detail
                   << "; repeat with --id " << job.id << " to learn its outcome\n";
        return exit_findings;
    }
    const auto& answer = std::get<call_answer>(result);
    const json outcome = json::parse(answer.body, nullptr, false);
    if (!outcome.is_object()) {
        output.err << "status " << answer.status << " without a JSON object for job " << job.id << '\n';
        return exit_findings;
    }
    if (job.as_json) {
        output.out << outcome.dump(2) << '\n';
    }
    if (answer.status == status_complete && outcome.value("outcome", "") == "complete") {
        return report_complete(job, outcome, steady::now() - start, output);
    }
    if (answer.status == status_not_ended) {
        output.err << "job " << job.id << " has not ended after " << job.timeout.count() << " ms\n";
        return exit_findings;
    }
    return report_failed(job, answer, outcome, output);
}

} // namespace

int run_submit(const std::vector<std::string>& args, command_output output) {
    submission job;
    try {
        cxxopts::Options options = make_options();
        std::vector<const char*> words{"submit"};
        for (const std::string& arg : args) {
            words.push_back(arg.c_str());
        }
        const auto parsed = options.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") > 0) {
            output.out << options.help() << '\n';
            return exit_done;
        }
        job = submission_from(parsed);
    } catch (const std::exception& error) {
        output.err << error.what() << '\n';
        return exit_usage;
    }
    return submit(job, output);
}

} // namespace persimmonstile
