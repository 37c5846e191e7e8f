#include "cli/load_command.h"

#include "cli/list_schedule.h"
#include "cli/load_client.h"
#include "cli/load_ideal.h"
#include "cli/load_metrics.h"
#include "cli/load_report.h"
#include "cli/load_workload.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <ostream>
#include <stdexcept>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using json = nlohmann::json;

// Bounds that keep a mistyped option from flooding the machine.
constexpr std::uint32_t longest_run_s = 3600;
constexpr double most_calls = 2e6;

struct load_options {
    workload load;
    std::vector<server_capacity> servers;
    load_client_settings client;
    std::vector<std::string> metrics;
    double calls_per_second = 0;
    std::chrono::seconds duration{0};
    std::chrono::duration<double> round_trip{0};
    std::uint64_t seed = 0;
    bool as_json = false;
    std::string output_file;
};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile load",
                             "Sends a workload at its planned times and reports the result."};
    options.add_options()("help", "Print this help");
    options.add_options()("entry", "Base URLs of entries, separated by commas",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("metrics", "Base URLs of daemons for message counts; default: the entries",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("workload", "JSON file, see docs/load.md", cxxopts::value<std::string>());
    options.add_options()("servers", "JSON file with slots and speed of each backend server",
                          cxxopts::value<std::string>());
    options.add_options()("rate", "Calls per second", cxxopts::value<double>());
    options.add_options()("load", "Offered work as a share of the capacity, instead of --rate",
                          cxxopts::value<double>());
    options.add_options()("duration-s", "Time during which calls are sent",
                          cxxopts::value<std::uint32_t>()->default_value("30"));
    options.add_options()("drain-s", "Wait for open calls after that",
                          cxxopts::value<std::uint32_t>()->default_value("60"));
    options.add_options()("seed", "Seed of arrivals and run times",
                          cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("connections", "Connections to all entries together",
                          cxxopts::value<std::uint32_t>()->default_value("1000"));
    options.add_options()("round-trip-ms", "Network time added to the ideal",
                          cxxopts::value<double>()->default_value("0"));
    options.add_options()("json", "Print the report as JSON");
    options.add_options()("output", "File that receives the report as JSON",
                          cxxopts::value<std::string>()->default_value(""));
    return options;
}

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        throw std::invalid_argument("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

workload read_workload(const std::string& path) {
    auto parsed = parse_workload(read_file(path));
    if (const auto* findings = std::get_if<workload_findings>(&parsed)) {
        std::string text;
        for (const std::string& finding : findings->findings) {
            text += text.empty() ? "" : "\n";
            text += path;
            text += "#";
            text += finding;
        }
        throw std::invalid_argument(text);
    }
    return std::get<workload>(std::move(parsed));
}

std::vector<server_capacity> read_servers(const std::string& path) {
    const json document = json::parse(read_file(path), nullptr, false);
    std::vector<server_capacity> servers;
    if (document.is_array()) {
        for (const json& server : document) {
            const auto slots = server.is_object() ? server.value("slots", json{}) : json{};
            const auto speed = server.is_object() ? server.value("speed", json{}) : json{};
            if (!slots.is_number_unsigned() || slots == 0 || !speed.is_number() || speed <= 0) {
                throw std::invalid_argument(path + ": each server needs positive numbers slots and speed");
            }
            servers.push_back({slots.get<std::uint32_t>(), speed.get<double>()});
        }
    }
    if (servers.empty()) {
        throw std::invalid_argument(path + " does not contain a JSON array with at least one server");
    }
    return servers;
}

double rate_from(const cxxopts::ParseResult& parsed, const load_options& options) {
    if (parsed.count("rate") + parsed.count("load") != 1) {
        throw std::invalid_argument("give either --rate or --load");
    }
    double rate = 0;
    if (parsed.count("rate") > 0) {
        rate = parsed["rate"].as<double>();
    } else {
        rate = parsed["load"].as<double>() * total_speed(options.servers) / mean_work(options.load).count();
    }
    const double calls = rate * static_cast<double>(options.duration.count());
    if (rate <= 0 || calls > most_calls) {
        throw std::invalid_argument(
            fmt::format("the run has {:.0f} calls; from 1 to {:.0f} are allowed", calls, most_calls));
    }
    return rate;
}

load_options options_from(const cxxopts::ParseResult& parsed) {
    for (const char* name : {"entry", "workload", "servers"}) {
        if (parsed.count(name) == 0) {
            throw std::invalid_argument(std::string{"--"} + name + " is required");
        }
    }
    load_options options;
    options.load = read_workload(parsed["workload"].as<std::string>());
    options.servers = read_servers(parsed["servers"].as<std::string>());
    options.client.entries = parsed["entry"].as<std::vector<std::string>>();
    options.client.connections = parsed["connections"].as<std::uint32_t>();
    options.client.drain = std::chrono::seconds{parsed["drain-s"].as<std::uint32_t>()};
    options.metrics = parsed.count("metrics") > 0 ? parsed["metrics"].as<std::vector<std::string>>()
                                                  : options.client.entries;
    options.duration = std::chrono::seconds{parsed["duration-s"].as<std::uint32_t>()};
    if (options.duration.count() == 0 || options.duration.count() > longest_run_s) {
        throw std::invalid_argument(fmt::format("--duration-s must be from 1 to {}", longest_run_s));
    }
    options.round_trip = std::chrono::duration<double, std::milli>{parsed["round-trip-ms"].as<double>()};
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.as_json = parsed.count("json") > 0;
    options.output_file = parsed["output"].as<std::string>();
    options.calls_per_second = rate_from(parsed, options);
    return options;
}

void print_progress(const load_progress& progress, std::ostream& out) {
    out << fmt::format("{:>5} s: sent {}, open {}, complete {}, refused {}, failed {}\n",
                       progress.elapsed.count(), progress.sent, progress.open, progress.complete,
                       progress.refused, progress.failed)
        << std::flush;
}

double offered_load(const std::vector<planned_call>& calls, const load_options& options) {
    std::chrono::duration<double> work{0};
    for (const planned_call& call : calls) {
        for (const std::chrono::milliseconds run_time : call.run_times) {
            work += run_time;
        }
    }
    return work / options.duration / total_speed(options.servers);
}

load_report run(load_options& options, command_output output) {
    const auto calls = plan_calls(options.load, options.calls_per_second, options.duration, options.seed);
    const reference_responses references{compute_ideal(calls, options.servers, options.round_trip),
                                         list_schedule(calls, options.servers, options.round_trip)};
    options.client.on_progress = [&output](const load_progress& progress) {
        print_progress(progress, output.err);
    };
    const message_counters before = scrape_messages(options.metrics);
    const auto results = run_calls(options.load, calls, options.client);
    const message_counters after = scrape_messages(options.metrics);
    load_report report = make_report(options.load, calls, references, results);
    report.seed = options.seed;
    report.calls_per_second = options.calls_per_second;
    report.offered_load = offered_load(calls, options);
    report.messages = growth(before.messages, after.messages);
    report.wasted = growth(before.wasted, after.wasted);
    report.unreachable_metrics = after.unreachable;
    return report;
}

int print(const load_report& report, const load_options& options, command_output output) {
    if (options.as_json) {
        output.out << report_json(report) << '\n';
    } else {
        print_report(report, output.out);
    }
    if (!options.output_file.empty()) {
        std::ofstream file{options.output_file};
        file << report_json(report) << '\n';
        if (!file.flush()) {
            output.err << "cannot write " << options.output_file << '\n';
            return exit_findings;
        }
    }
    if (!report.mismatches.empty()) {
        output.err << report.mismatches.size() << " answers do not fit their calls\n";
        return exit_findings;
    }
    if (report.complete == 0) {
        output.err << "no call was complete\n";
        return exit_findings;
    }
    return exit_done;
}

} // namespace

int run_load(const std::vector<std::string>& args, command_output output) {
    load_options options;
    try {
        cxxopts::Options known = make_options();
        std::vector<const char*> words{"load"};
        for (const std::string& arg : args) {
            words.push_back(arg.c_str());
        }
        const auto parsed = known.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") > 0) {
            output.out << known.help() << '\n';
            return exit_done;
        }
        options = options_from(parsed);
    } catch (const std::exception& error) {
        output.err << error.what() << '\n';
        return exit_usage;
    }
    try {
        return print(run(options, output), options, output);
    } catch (const std::exception& error) {
        output.err << error.what() << '\n';
        return exit_findings;
    }
}

} // namespace persimmonstile
