#include "cli/wait_in_force.h"

#include "protocol/bounded_json.h"
#include "state/clock_source.h"
#include "transport/curl_handle.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace persimmonstile {

namespace {

using nlohmann::json;

constexpr milliseconds poll_interval{50};
constexpr milliseconds connect_timeout{500};
constexpr milliseconds request_timeout{1000};
constexpr long status_ok = 200;
constexpr std::size_t max_listed_agents = 10;

std::string agents_behind(const json& status, config_revision revision) {
    std::string names;
    std::size_t behind = 0;
    for (const json& agent : status.value("agents", json::array())) {
        const auto agent_revision = agent.at("revision").get<config_revision>();
        if (agent_revision >= revision)
            continue;
        ++behind;
        if (behind <= max_listed_agents)
            names += " " + agent.at("name").get<std::string>() + "@" + std::to_string(agent_revision);
    }
    if (behind == 0)
        return {};
    return ", " + std::to_string(behind) + " agents behind:" + names;
}

void read_status(const json& status, config_revision revision, entry_progress& progress) {
    const auto reported = status.at("revision").get<config_revision>();
    progress.in_force = reported >= revision && status.at("in_force").get<bool>();
    progress.detail = "revision " + std::to_string(reported) +
                      (progress.in_force ? " in force" : ", not in force") + agents_behind(status, revision);
}

void ask(curl_handle& handle, config_revision revision, entry_progress& progress) {
    static const std::atomic<bool> never_stopped{false};
    const http_answer answer =
        handle.get(progress.entry + "/v1/status", {connect_timeout, request_timeout}, never_stopped);
    if (answer.status != status_ok) {
        progress.detail = answer.status == 0 ? answer.error : "HTTP status " + std::to_string(answer.status);
        return;
    }
    const auto status = parse_bounded_json(answer.body);
    try {
        if (status && status->is_object())
            return read_status(*status, revision, progress);
    } catch (const json::exception&) {
        // Reported below, like any other body that is not a status.
    }
    progress.detail = "an answer that is not a status";
}

bool all_in_force(const std::vector<entry_progress>& entries) {
    return std::all_of(entries.begin(), entries.end(), [](const auto& entry) { return entry.in_force; });
}

} // namespace

void add_wait_options(cxxopts::Options& options) {
    options.add_options()("wait", "wait until the revision is in force at every --entry")(
        "entry", "base URLs of entries, separated by commas", cxxopts::value<std::vector<std::string>>())(
        "wait-timeout-ms", "longest time to wait", number_value(10000));
}

std::optional<int> check_wait_options(const cxxopts::Options& options, const parsed_arguments& line,
                                      command_output output) {
    if (line.options.count("wait") > 0 && line.options.count("entry") == 0)
        return print_usage_error(options, "--wait needs --entry", output);
    return std::nullopt;
}

std::vector<entry_progress> wait_in_force(const std::vector<std::string>& entries, config_revision revision,
                                          milliseconds timeout, const clock_source& clock) {
    std::vector<entry_progress> progress;
    progress.reserve(entries.size());
    for (const std::string& entry : entries)
        progress.push_back({entry, false, "not asked"});
    curl_handle handle;
    const time_point deadline = clock.now() + timeout;
    while (true) {
        for (entry_progress& entry : progress) {
            if (!entry.in_force)
                ask(handle, revision, entry);
        }
        if (all_in_force(progress) || clock.now() >= deadline)
            return progress;
        std::this_thread::sleep_for(poll_interval);
    }
}

int wait_if_asked(const parsed_arguments& line, config_revision revision, const clock_source& clock,
                  command_output output) {
    if (line.options.count("wait") == 0)
        return exit_done;
    const auto entries = line.options["entry"].as<std::vector<std::string>>();
    const milliseconds timeout{number_option(line, "wait-timeout-ms")};
    const auto progress = wait_in_force(entries, revision, timeout, clock);
    // To the error stream, so that the output stays one JSON document with --json.
    for (const entry_progress& entry : progress)
        output.err << entry.entry << ": " << entry.detail << '\n';
    if (all_in_force(progress)) {
        output.err << "revision " << revision << " is in force\n";
        return exit_done;
    }
    output.err << "revision " << revision << " is not in force everywhere after " << timeout.count()
               << " ms\n";
    return exit_findings;
}

} // namespace persimmonstile
