#include "cli/replay_command.h"

#include "protocol/event_replay.h"
#include "protocol/recorded_event_json.h"

#include <fstream>
#include <map>
#include <optional>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile replay",
                             "Repeat the decisions of an entry from its recorded events"};
    options.add_options()("help", "Print this help");
    options.add_options()("json", "Print JSON");
    options.add_options()("expect", "JSON file with the outcome of each job, {\"job\": \"complete\"}",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("file", "Event file", cxxopts::value<std::string>());
    options.parse_positional({"file"});
    options.positional_help("FILE");
    return options;
}

// False after printing why a line cannot be used.
bool feed(std::istream& in, event_replay& replay, const command_output& output) {
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        const auto decoded = decode_recorded_event(line);
        if (const auto* error = std::get_if<decode_error>(&decoded)) {
            output.err << "line " << number << ": " << error->detail << '\n';
            return false;
        }
        replay.apply(number, std::get<recorded_event>(decoded));
    }
    return true;
}

void print_text(const event_replay& replay, const command_output& output) {
    for (const auto& [job, outcome] : replay.outcomes())
        output.out << job << ' ' << outcome << '\n';
    output.out << replay.event_count() << " events, " << replay.outcomes().size() << " ended jobs\n";
}

void print_json(const event_replay& replay, const command_output& output) {
    nlohmann::json json;
    json["events"] = replay.event_count();
    json["outcomes"] = replay.outcomes();
    json["diverged"] = replay.divergence().has_value();
    output.out << json.dump() << '\n';
}

// Prints each job whose outcome is not the expected one; false if there is one.
bool check_expectation(const std::string& path, const event_replay& replay, const command_output& output) {
    std::ifstream in{path};
    const nlohmann::json expected = nlohmann::json::parse(in, nullptr, false);
    if (!expected.is_object()) {
        output.err << path << ": expected a JSON object with the outcome of each job\n";
        return false;
    }
    bool same = true;
    for (const auto& [job, outcome] : expected.items()) {
        const auto found = replay.outcomes().find(job);
        const std::string seen = found == replay.outcomes().end() ? "no outcome" : found->second;
        if (outcome == seen)
            continue;
        output.err << job << ": expected " << outcome.dump() << ", found " << seen << '\n';
        same = false;
    }
    return same;
}

} // namespace

int run_replay(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    std::vector<const char*> words{"replay"};
    for (const std::string& word : args)
        words.push_back(word.c_str());
    std::optional<cxxopts::ParseResult> parsed;
    try {
        parsed = options.parse(static_cast<int>(words.size()), words.data());
    } catch (const cxxopts::exceptions::exception& error) {
        output.err << error.what() << '\n';
        return exit_usage;
    }
    if (parsed->count("help") > 0) {
        output.out << options.help() << '\n';
        return exit_done;
    }
    if (parsed->count("file") == 0) {
        output.err << "replay needs an event file\n";
        return exit_usage;
    }
    const auto path = (*parsed)["file"].as<std::string>();
    std::ifstream in{path};
    if (!in) {
        output.err << "cannot open " << path << '\n';
        return exit_findings;
    }
    event_replay replay;
    if (!feed(in, replay, output))
        return exit_findings;
    if (parsed->count("json") > 0)
        print_json(replay, output);
    else
        print_text(replay, output);
    if (replay.divergence()) {
        output.err << path << ":" << replay.divergence()->line
                   << ": the replayed decision differs from the recorded one\n";
        return exit_findings;
    }
    const auto expectation = (*parsed)["expect"].as<std::string>();
    const bool as_expected = expectation.empty() || check_expectation(expectation, replay, output);
    return as_expected ? exit_done : exit_findings;
}

} // namespace persimmonstile
