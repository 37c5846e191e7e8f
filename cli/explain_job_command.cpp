#include "cli/explain_job_command.h"

#include "cli/job_timeline.h"
#include "cli/parsed_arguments.h"
#include "cli/text_table.h"

#include <algorithm>
#include <charconv>
#include <fstream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

constexpr std::size_t default_slowest = 5;

struct explain_request {
    std::string job;
    std::vector<std::string> files;
    std::size_t slowest = default_slowest;
    bool as_json = false;
};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile explain job", "Shows where a job's time went."};
    options.positional_help("ID --traces FILE...");
    auto add = options.add_options();
    add("job", "id of the job", cxxopts::value<std::string>());
    add("traces", "span files of the processes; further names may follow", cxxopts::value<std::string>(),
        "FILE...");
    add("files", "more span files", cxxopts::value<std::vector<std::string>>());
    add("slowest", "number of slowest tasks to list", cxxopts::value<std::size_t>(), "N");
    add("json", "print JSON");
    options.parse_positional({"job", "files"});
    return options;
}

explain_request to_request(const cxxopts::ParseResult& parsed) {
    explain_request request;
    request.job = parsed["job"].as<std::string>();
    request.files.push_back(parsed["traces"].as<std::string>());
    if (parsed.count("files") != 0) {
        const auto more = parsed["files"].as<std::vector<std::string>>();
        request.files.insert(request.files.end(), more.begin(), more.end());
    }
    if (parsed.count("slowest") != 0) {
        request.slowest = parsed["slowest"].as<std::size_t>();
    }
    request.as_json = parsed.count("json") != 0;
    return request;
}

void read_file(const std::string& path, std::vector<recorded_span>& spans, findings& problems) {
    std::ifstream file{path};
    if (!file) {
        problems.push_back({path, "", "a readable span file", "none"});
        return;
    }
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        auto decoded = decode_spans(path, number, line);
        if (auto* damaged = std::get_if<findings>(&decoded)) {
            problems.insert(problems.end(), damaged->begin(), damaged->end());
            continue;
        }
        auto& read = std::get<std::vector<recorded_span>>(decoded);
        spans.insert(spans.end(), std::make_move_iterator(read.begin()), std::make_move_iterator(read.end()));
    }
}

double to_milliseconds(std::chrono::nanoseconds duration) {
    return std::chrono::duration<double, std::milli>{duration}.count();
}

std::string milliseconds_text(std::chrono::nanoseconds duration) {
    return fmt::format("{:.3f}", to_milliseconds(duration));
}

std::string task_text(const task_share& task) {
    return task.task ? std::to_string(*task.task) : "-";
}

void print_text(const job_timeline& timeline, std::size_t slowest, std::ostream& out) {
    out << fmt::format("job {}: {} ms, outcome {}, {} call(s), trace {}\n\n", timeline.job,
                       milliseconds_text(timeline.total),
                       timeline.outcome.empty() ? "unknown" : timeline.outcome, timeline.call_count,
                       timeline.trace);
    text_table hops{{"HOP", "PROCESS", "SPANS", "TOTAL ms", "OWN ms", "OWN %"}};
    for (const hop_share& share : timeline.hops) {
        const double percent = timeline.total.count() == 0 ? 0.0
                                                           : 100.0 * static_cast<double>(share.own.count()) /
                                                                 static_cast<double>(timeline.total.count());
        hops.add_row({std::string{to_string(share.hop)}, share.instance.empty() ? "no span" : share.instance,
                      std::to_string(share.span_count), milliseconds_text(share.total),
                      milliseconds_text(share.own), fmt::format("{:.1f}", percent)});
    }
    out << hops.text();
    out << "\nOWN is the time of a hop that the next one does not account for, on the path to the task that "
           "ended last.\n";
    if (timeline.tasks.empty()) {
        return;
    }
    out << "\nslowest tasks\n";
    text_table tasks{{"TASK", "AGENT", "BACKEND SERVER", "TOTAL ms", "WAITED ms", "RUN ms", "STATUS"}};
    for (std::size_t i = 0; i < std::min(slowest, timeline.tasks.size()); ++i) {
        const task_share& task = timeline.tasks[i];
        tasks.add_row({task_text(task), task.agent, task.backend_server, milliseconds_text(task.total),
                       milliseconds_text(task.waited), milliseconds_text(task.run), task.outcome});
    }
    out << tasks.text();
}

json to_json(const job_timeline& timeline, std::size_t slowest) {
    json hops = json::array();
    for (const hop_share& share : timeline.hops) {
        hops.push_back({{"hop", to_string(share.hop)},
                        {"process", share.instance},
                        {"spans", share.span_count},
                        {"total_ms", to_milliseconds(share.total)},
                        {"own_ms", to_milliseconds(share.own)}});
    }
    json tasks = json::array();
    for (std::size_t i = 0; i < std::min(slowest, timeline.tasks.size()); ++i) {
        const task_share& task = timeline.tasks[i];
        tasks.push_back({{"task", task.task ? json(*task.task) : json()},
                         {"agent", task.agent},
                         {"backend_server", task.backend_server},
                         {"status", task.outcome},
                         {"total_ms", to_milliseconds(task.total)},
                         {"waited_ms", to_milliseconds(task.waited)},
                         {"run_ms", to_milliseconds(task.run)}});
    }
    return {{"job", timeline.job},
            {"trace", timeline.trace},
            {"outcome", timeline.outcome},
            {"calls", timeline.call_count},
            {"total_ms", to_milliseconds(timeline.total)},
            {"hops", std::move(hops)},
            {"slowest_tasks", std::move(tasks)}};
}

int explain(const explain_request& request, command_output output) {
    std::vector<recorded_span> spans;
    findings problems;
    for (const std::string& file : request.files) {
        read_file(file, spans, problems);
    }
    for (const finding& problem : problems) {
        output.err << to_text(problem) << '\n';
    }
    const std::optional<job_timeline> timeline = make_job_timeline(request.job, spans);
    if (!timeline) {
        output.err << fmt::format("no span of job {} in {} file(s) with {} span(s)\n", request.job,
                                  request.files.size(), spans.size());
        return exit_findings;
    }
    if (request.as_json) {
        output.out << to_json(*timeline, request.slowest).dump(2) << '\n';
    } else {
        print_text(*timeline, request.slowest, output.out);
    }
    return problems.empty() ? exit_done : exit_findings;
}

} // namespace

int run_explain_job(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 0, output, line))
        return *code;
    if (line.options.count("job") == 0 || line.options.count("traces") == 0)
        return print_usage_error(options, "a job id and --traces FILE... are needed", output);
    return explain(to_request(line.options), output);
}

} // namespace persimmonstile
