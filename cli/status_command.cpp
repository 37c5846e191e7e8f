#include "cli/status_command.h"

#include "cli/text_table.h"
#include "protocol/finding.h"
#include "protocol/schema_findings.h"
#include "state/ids.h"
#include "transport/curl_handle.h"

#include <atomic>
#include <variant>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

constexpr const char* status_path = "/v1/status";

// The members that this command reads. An entry of a newer version may send more.
constexpr const char* status_schema = R"json({
  "type": "object", "description": "a status object", "additionalProperties": true,
  "required": ["name", "revision", "table_version", "partitions", "in_force", "draining", "active_jobs",
               "waiting_tasks", "agents"],
  "properties": {
    "name": {"type": "string", "description": "the name of the entry"},
    "revision": {"type": "integer", "minimum": 0, "description": "a revision"},
    "table_version": {"type": "integer", "minimum": 0, "description": "a version of the owner table"},
    "partitions": {"type": "integer", "minimum": 0, "description": "a number of partitions"},
    "in_force": {"type": "boolean", "description": "true or false"},
    "draining": {"type": "boolean", "description": "true or false"},
    "active_jobs": {"type": "integer", "minimum": 0, "description": "a number of jobs"},
    "waiting_tasks": {"type": "integer", "minimum": 0, "description": "a number of tasks"},
    "agents": {"type": "array", "description": "a list of agents"}
  }
})json";

struct status_request {
    std::vector<std::string> entries;
    bool as_json = false;
};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile status", "Shows the state of the entries."};
    options.positional_help("");
    auto add = options.add_options();
    add("entry", "base URLs of entries, for example http://127.0.0.1:8080",
        cxxopts::value<std::vector<std::string>>(), "URL...");
    add("more", "more base URLs of entries", cxxopts::value<std::vector<std::string>>());
    add("json", "print JSON: one object for each entry, with its URL");
    add("help", "print this help and exit");
    options.parse_positional({"more"});
    return options;
}

status_request to_request(const cxxopts::ParseResult& parsed) {
    status_request request;
    request.entries = parsed["entry"].as<std::vector<std::string>>();
    if (parsed.count("more") != 0) {
        const auto more = parsed["more"].as<std::vector<std::string>>();
        request.entries.insert(request.entries.end(), more.begin(), more.end());
    }
    request.as_json = parsed.count("json") != 0;
    return request;
}

std::string without_trailing_slash(std::string url) {
    while (url.ends_with('/')) {
        url.pop_back();
    }
    return url;
}

std::variant<json, findings> fetch_status(curl_handle& client, const std::string& entry) {
    const std::string url = without_trailing_slash(entry) + status_path;
    const std::atomic<bool> stopped = false;
    const http_answer answer = client.get(url, {}, stopped);
    constexpr long status_ok = 200;
    if (answer.status != status_ok) {
        const std::string found = answer.status == 0 ? answer.error : std::to_string(answer.status);
        return findings{{url, "", "HTTP status 200", found}};
    }
    std::variant<json, findings> parsed = parse_json(url, answer.body);
    if (std::holds_alternative<findings>(parsed)) {
        return parsed;
    }
    findings problems = check_schema(url, json::parse(status_schema), std::get<json>(parsed));
    if (!problems.empty()) {
        return problems;
    }
    return parsed;
}

std::string yes_or_no(const json& value) {
    return value.get<bool>() ? "yes" : "no";
}

std::vector<std::string> table_row(const std::string& entry, const json& status) {
    return {entry,
            status.at("name").get<std::string>(),
            status.at("revision").dump(),
            yes_or_no(status.at("in_force")),
            status.at("table_version").dump(),
            status.at("partitions").dump() + "/" + std::to_string(partition_count),
            std::to_string(status.at("agents").size()),
            status.at("active_jobs").dump(),
            status.at("waiting_tasks").dump(),
            yes_or_no(status.at("draining"))};
}

int show_status(const status_request& request, command_output output) {
    curl_handle client;
    text_table table{{"ENTRY", "NAME", "REVISION", "IN FORCE", "TABLE", "PARTITIONS", "AGENTS", "JOBS",
                      "WAITING TASKS", "DRAINING"}};
    json list = json::array();
    bool complete = true;
    for (const std::string& entry : request.entries) {
        std::variant<json, findings> fetched = fetch_status(client, entry);
        if (const auto* problems = std::get_if<findings>(&fetched)) {
            complete = false;
            for (const finding& problem : *problems) {
                output.err << to_text(problem) << '\n';
            }
            continue;
        }
        json& status = std::get<json>(fetched);
        table.add_row(table_row(entry, status));
        status["entry"] = entry;
        list.push_back(std::move(status));
    }
    if (request.as_json) {
        output.out << list.dump(2) << '\n';
    } else if (!list.empty()) {
        output.out << table.text();
    }
    return complete ? exit_done : exit_findings;
}

} // namespace

int run_status(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    std::vector<const char*> words{"status"};
    for (const std::string& arg : args) {
        words.push_back(arg.c_str());
    }
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") != 0) {
            output.out << options.help();
            return exit_done;
        }
        if (parsed.count("entry") == 0) {
            output.err << "status: --entry URL... is needed\n";
            return exit_usage;
        }
        return show_status(to_request(parsed), output);
    } catch (const cxxopts::exceptions::exception& error) {
        output.err << "status: " << error.what() << '\n';
        return exit_usage;
    }
}

} // namespace persimmonstile
