#include "cli/audit_options.h"

#include "cli/store_options.h"

#include <cstdlib>

namespace persimmonstile {

namespace {

// Keeps one record small in comparison with the history.
constexpr std::size_t max_text_length = 1000;

std::string author_of(const parsed_arguments& line) {
    if (line.options.count("author") > 0)
        return line.options["author"].as<std::string>();
    const char* const user = std::getenv("USER");
    return user == nullptr ? std::string{} : std::string{user};
}

bool is_usable(const std::string& text) {
    return text.find_first_not_of(" \t\r\n") != std::string::npos && text.size() <= max_text_length;
}

} // namespace

void add_audit_options(cxxopts::Options& options) {
    options.add_options()("reason", "why; kept in the history", cxxopts::value<std::string>())(
        "author", "who; the environment's USER if left out", cxxopts::value<std::string>());
}

std::optional<int> check_audit_options(const cxxopts::Options& options, const parsed_arguments& line,
                                       command_output output) {
    if (line.options.count("reason") == 0 || !is_usable(line.options["reason"].as<std::string>()))
        return print_usage_error(options, "--reason with 1 to 1000 characters is required", output);
    if (!is_usable(author_of(line)))
        return print_usage_error(options, "--author with 1 to 1000 characters is required", output);
    return std::nullopt;
}

change_metadata metadata_of(const parsed_arguments& line, wall_time now) {
    return {author_of(line), line.options["reason"].as<std::string>(), now, writer_name(),
            new_operation_id()};
}

} // namespace persimmonstile
