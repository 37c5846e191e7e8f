// g++ 12 reports a copy inside the number parser of cxxopts as overlapping, which it is not. Numbers are
// parsed in this file only, so that the warning stays on everywhere else.
#pragma GCC diagnostic ignored "-Wrestrict"

#include "cli/parsed_arguments.h"

namespace persimmonstile {

namespace {

std::vector<const char*> argument_pointers(const cxxopts::Options& options,
                                           const std::vector<std::string>& args) {
    std::vector<const char*> pointers{options.program().c_str()};
    for (const std::string& arg : args)
        pointers.push_back(arg.c_str());
    return pointers;
}

} // namespace

std::optional<int> parse_arguments(cxxopts::Options& options, const std::vector<std::string>& args,
                                   std::size_t min_words, std::size_t max_words, command_output output,
                                   parsed_arguments& parsed) {
    options.add_options()("help", "print this text");
    const std::vector<const char*> pointers = argument_pointers(options, args);
    try {
        parsed.options = options.parse(static_cast<int>(pointers.size()), pointers.data());
    } catch (const cxxopts::exceptions::exception& error) {
        return print_usage_error(options, error.what(), output);
    }
    if (parsed.options.count("help") > 0) {
        output.out << options.help();
        return exit_done;
    }
    parsed.words = parsed.options.unmatched();
    if (parsed.words.size() < min_words || parsed.words.size() > max_words)
        return print_usage_error(options, "wrong number of arguments", output);
    return std::nullopt;
}

std::shared_ptr<cxxopts::Value> number_value() {
    return cxxopts::value<std::uint64_t>();
}

std::shared_ptr<cxxopts::Value> number_value(std::uint64_t default_value) {
    return number_value()->default_value(std::to_string(default_value));
}

std::uint64_t number_option(const parsed_arguments& line, const std::string& name) {
    return line.options[name].as<std::uint64_t>();
}

int print_usage_error(const cxxopts::Options& options, const std::string& message, command_output output) {
    output.err << options.program() << ": " << message << "\n" << options.help();
    return exit_usage;
}

} // namespace persimmonstile
