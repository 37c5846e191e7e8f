#include "cli/explain_request_command.h"

#include "cli/log_lines.h"
#include "cli/parsed_arguments.h"
#include "cli/text_table.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

// The lines about one request, and what limits what they tell.
struct request_story {
    std::vector<log_line> lines;
    // Processes whose logs left lines out, so that some about the request may be missing.
    std::set<std::string> incomplete;
    std::size_t lines_read = 0;
};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile explain request",
                             "Shows from log files what was decided about a request."};
    options.positional_help("ID --logs FILE...");
    auto add = options.add_options();
    add("request", "id of the request", cxxopts::value<std::string>());
    add("logs", "log files of the processes; further names may follow", cxxopts::value<std::string>(),
        "FILE...");
    add("files", "more log files", cxxopts::value<std::vector<std::string>>());
    add("json", "print JSON");
    options.parse_positional({"request", "files"});
    return options;
}

void read_file(const std::string& path, const std::string& request, request_story& story,
               findings& problems) {
    std::ifstream file{path};
    if (!file) {
        problems.push_back({path, "", "a readable log file", "none"});
        return;
    }
    std::size_t number = 0;
    for (std::string text; std::getline(file, text);) {
        auto decoded = decode_log_line(path, ++number, text);
        if (auto* damaged = std::get_if<findings>(&decoded)) {
            problems.insert(problems.end(), damaged->begin(), damaged->end());
            continue;
        }
        auto& line = std::get<std::optional<log_line>>(decoded);
        if (!line)
            continue;
        ++story.lines_read;
        if (line->follows_gap)
            story.incomplete.insert(line->process);
        if (line->job == request)
            story.lines.push_back(std::move(*line));
    }
}

void print_text(const request_story& story, std::ostream& out) {
    text_table table{{"TIME", "PROCESS", "LEVEL", "DECISION", "INPUTS"}};
    for (const log_line& line : story.lines)
        table.add_row({line.time, line.process, line.level, line.message, line.fields});
    out << table.text();
    for (const std::string& process : story.incomplete)
        out << fmt::format("{} left lines out while it wrote many; some may be missing above\n", process);
}

json to_json(const request_story& story) {
    json lines = json::array();
    for (const log_line& line : story.lines)
        lines.push_back({{"time", line.time},
                         {"process", line.process},
                         {"level", line.level},
                         {"decision", line.message},
                         {"inputs", line.fields}});
    return {{"lines", std::move(lines)}, {"incomplete_processes", story.incomplete}};
}

int explain(const cxxopts::ParseResult& parsed, command_output output) {
    const auto request = parsed["request"].as<std::string>();
    std::vector<std::string> files{parsed["logs"].as<std::string>()};
    if (parsed.count("files") != 0) {
        const auto more = parsed["files"].as<std::vector<std::string>>();
        files.insert(files.end(), more.begin(), more.end());
    }
    request_story story;
    findings problems;
    for (const std::string& file : files)
        read_file(file, request, story, problems);
    for (const finding& problem : problems)
        output.err << to_text(problem) << '\n';
    if (story.lines.empty()) {
        output.err << fmt::format("no line about request {} in {} file(s) with {} log line(s)\n", request,
                                  files.size(), story.lines_read);
        return exit_findings;
    }
    std::stable_sort(story.lines.begin(), story.lines.end(),
                     [](const log_line& left, const log_line& right) { return left.time < right.time; });
    if (parsed.count("json") != 0)
        output.out << to_json(story).dump(2) << '\n';
    else
        print_text(story, output.out);
    return problems.empty() ? exit_done : exit_findings;
}

} // namespace

int run_explain_request(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 0, output, line))
        return *code;
    if (line.options.count("request") == 0 || line.options.count("logs") == 0)
        return print_usage_error(options, "the id of a request and --logs FILE... are needed", output);
    return explain(line.options, output);
}

} // namespace persimmonstile
