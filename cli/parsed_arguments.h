#pragma once

#include "cli/command.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

namespace persimmonstile {

// A parsed command line: options and the words that belong to none.
struct parsed_arguments {
    cxxopts::ParseResult options;
    std::vector<std::string> words;
};

// Adds --help, parses, and checks the number of words. Returns the exit code if the command is not to run:
// exit_done after --help, exit_usage after printing what is wrong.
std::optional<int> parse_arguments(cxxopts::Options& options, const std::vector<std::string>& args,
                                   std::size_t min_words, std::size_t max_words, command_output output,
                                   parsed_arguments& parsed);

// Value of an option that takes a non-negative number, with or without a default, and how to read it.
std::shared_ptr<cxxopts::Value> number_value();
std::shared_ptr<cxxopts::Value> number_value(std::uint64_t default_value);
std::uint64_t number_option(const parsed_arguments& line, const std::string& name);

// Prints the message and returns exit_usage.
int print_usage_error(const cxxopts::Options& options, const std::string& message, command_output output);

} // namespace persimmonstile
