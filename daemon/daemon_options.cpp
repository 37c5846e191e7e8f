#include "daemon/daemon_options.h"

#include "protocol/closest_name.h"
#include "protocol/settings_reader.h"

#include <algorithm>

#include <cxxopts.hpp>

namespace persimmonstile {
namespace {

constexpr const char* program_name = "persimmonstiled";

std::string option_name(std::string member) {
    std::replace(member.begin(), member.end(), '_', '-');
    return member;
}

cxxopts::Options make_options() {
    cxxopts::Options options{program_name, "Dispatcher for parallel jobs of short tasks: entry or agent."};
    auto add = options.add_options();
    add("settings", "JSON file with the settings", cxxopts::value<std::string>(), "FILE");
    add("check", "report all findings about the settings and exit");
    add("help", "print this help and exit");
    add("version", "print the version and exit");
    auto add_setting = options.add_options("Settings (each overrides the settings file; lists use commas)");
    for (const setting_description& setting : describe_settings()) {
        add_setting(option_name(setting.member), setting.expected, cxxopts::value<std::string>(), "VALUE");
    }
    return options;
}

std::vector<std::string> option_names() {
    std::vector<std::string> names{"--settings", "--check", "--help", "--version"};
    for (const setting_description& setting : describe_settings()) {
        names.push_back("--" + option_name(setting.member));
    }
    return names;
}

std::string describe_unknown(const std::string& word) {
    std::string detail = "unknown argument " + word;
    if (const auto nearest = closest_name(word.substr(0, word.find('=')), option_names())) {
        detail += "; the nearest option is " + *nearest;
    }
    return detail;
}

daemon_options to_daemon_options(const cxxopts::ParseResult& parsed) {
    daemon_options result;
    if (parsed.count("settings") != 0) {
        result.settings_path = parsed["settings"].as<std::string>();
    }
    result.check = parsed.count("check") != 0;
    result.help = parsed.count("help") != 0;
    result.version = parsed.count("version") != 0;
    for (const setting_description& setting : describe_settings()) {
        const std::string option = option_name(setting.member);
        if (parsed.count(option) != 0) {
            result.overrides.push_back({setting.member, parsed[option].as<std::string>()});
        }
    }
    return result;
}

} // namespace

std::variant<daemon_options, usage_error> parse_daemon_options(const std::vector<std::string>& args) {
    cxxopts::Options options = make_options();
    // Unknown arguments are collected instead of thrown, so that the error can suggest the nearest option.
    options.allow_unrecognised_options();
    std::vector<const char*> words{program_name};
    for (const std::string& arg : args) {
        words.push_back(arg.c_str());
    }
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
        if (!parsed.unmatched().empty()) {
            return usage_error{describe_unknown(parsed.unmatched().front())};
        }
        return to_daemon_options(parsed);
    } catch (const cxxopts::exceptions::exception& error) {
        return usage_error{error.what()};
    }
}

std::string daemon_help() {
    return make_options().help();
}

} // namespace persimmonstile
