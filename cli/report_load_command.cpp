#include "cli/report_load_command.h"

#include "cli/load_history.h"
#include "cli/parsed_arguments.h"
#include "cli/text_table.h"
#include "protocol/finding.h"

#include <array>
#include <fstream>
#include <numeric>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

constexpr std::array dimensions{"queue", "size", "entry", "zone"};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile report load",
                             "Shows from log files how the jobs of a deployment ended."};
    options.positional_help("--logs FILE...");
    auto add = options.add_options();
    add("logs", "log files of the processes; further names may follow", cxxopts::value<std::string>(),
        "FILE...");
    add("files", "more log files", cxxopts::value<std::vector<std::string>>());
    add("json", "print JSON");
    options.parse_positional({"files"});
    return options;
}

// A line without a brace is not one of a log. What stands before the first brace is skipped, because
// collectors put the name of a source there.
void read_file(const std::string& path, load_history& history, findings& problems) {
    std::ifstream file{path};
    if (!file) {
        problems.push_back({path, "", "a readable log file", "none"});
        return;
    }
    std::size_t number = 0;
    for (std::string text; std::getline(file, text);) {
        ++number;
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        const json line =
            json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        if (line.is_object() && line.contains("message"))
            history.add(line);
        else
            problems.push_back(
                {fmt::format("{}:{}", path, number), "", "a line of a daemon's log", "something else"});
    }
}

json counts_json(const load_history::outcome_counts& counts) {
    json result;
    for (std::size_t i = 0; i < counts.size(); ++i)
        result[std::string{to_string(static_cast<job_outcome_kind>(i))}] = counts[i];
    return result;
}

json to_json(const load_history& history) {
    json result;
    for (const char* dimension : dimensions) {
        json& groups = result["jobs_by_" + std::string{dimension}] = json::object();
        for (const auto& [name, counts] : history.group_by(dimension))
            groups[name] = counts_json(counts);
    }
    const load_history::capacity_use& capacity = history.capacity();
    result["core_seconds"] = {{"idle_while_tasks_waited_by_entry", capacity.idle_while_waiting},
                              {"off_rack", capacity.off_rack},
                              {"discarded", capacity.discarded}};
    result["discarded_runs"] = capacity.discarded_runs;
    result["suppressed_lines"] = history.suppressed_lines();
    return result;
}

std::vector<std::string> table_header(const std::string& dimension) {
    std::vector<std::string> header{dimension, "jobs"};
    for (std::size_t i = 0; i < job_outcome_kinds; ++i)
        header.emplace_back(to_string(static_cast<job_outcome_kind>(i)));
    return header;
}

void print_text(const load_history& history, std::ostream& out) {
    for (const char* dimension : dimensions) {
        text_table table{table_header(dimension)};
        for (const auto& [name, counts] : history.group_by(dimension)) {
            std::vector<std::string> row{
                name, std::to_string(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}))};
            for (const std::uint64_t count : counts)
                row.push_back(std::to_string(count));
            table.add_row(std::move(row));
        }
        out << table.text() << '\n';
    }
    const load_history::capacity_use& capacity = history.capacity();
    for (const auto& [entry, core_seconds] : capacity.idle_while_waiting)
        out << fmt::format("{}: {:.1f} core-seconds free at its agents while tasks waited\n", entry,
                           core_seconds);
    out << fmt::format("{:.1f} core-seconds off the rack of the data\n", capacity.off_rack);
    out << fmt::format("{:.1f} core-seconds in {} run(s) without a result\n", capacity.discarded,
                       capacity.discarded_runs);
    for (const auto& [process, lines] : history.suppressed_lines())
        out << fmt::format("{} left out {} line(s); jobs may be missing above\n", process, lines);
}

int report(const cxxopts::ParseResult& parsed, command_output output) {
    std::vector<std::string> files{parsed["logs"].as<std::string>()};
    if (parsed.count("files") != 0) {
        const auto more = parsed["files"].as<std::vector<std::string>>();
        files.insert(files.end(), more.begin(), more.end());
    }
    load_history history;
    findings problems;
    for (const std::string& file : files)
        read_file(file, history, problems);
    for (const finding& problem : problems)
        output.err << to_text(problem) << '\n';
    if (history.jobs() == 0) {
        output.err << fmt::format("no line about a job in {} file(s)\n", files.size());
        return exit_findings;
    }
    if (parsed.count("json") != 0)
        output.out << to_json(history).dump(2) << '\n';
    else
        print_text(history, output.out);
    return problems.empty() ? exit_done : exit_findings;
}

} // namespace

int run_report_load(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 0, output, line))
        return *code;
    if (line.options.count("logs") == 0)
        return print_usage_error(options, "--logs FILE... is needed", output);
    return report(line.options, output);
}

} // namespace persimmonstile
