#include "cli/command_line.h"

#include "cli/text_table.h"
#include "protocol/closest_name.h"

#include <exception>

namespace persimmonstile {
namespace {

constexpr const char* program_name = "persimmonstile";

std::string usage(std::span<const command> commands) {
    std::string text = std::string{"usage: "} + program_name +
                       " COMMAND [ARGUMENTS]\n\n"
                       "Operates a dispatcher for parallel jobs of short tasks.\n\n";
    text_table table{{"COMMAND", "PURPOSE"}};
    for (const command& item : commands) {
        table.add_row({std::string{item.name}, std::string{item.summary}});
    }
    text += table.text();
    text += std::string{"\n"} + program_name +
            " COMMAND --help shows the arguments of a command.\n"
            "--help and --version print this text and the version.\n"
            "exit codes: 0 done, 1 findings or refused, 2 usage, 3 store unreachable\n";
    return text;
}

// The command named by the first two words or by the first one.
const command* find_command(std::span<const command> commands, const std::vector<std::string>& words) {
    const std::string two_words = words.size() > 1 ? words[0] + ' ' + words[1] : std::string{};
    const command* found = nullptr;
    for (const command& item : commands) {
        if (item.name == two_words) {
            return &item;
        }
        if (item.name == words[0]) {
            found = &item;
        }
    }
    return found;
}

bool is_two_words(std::string_view name) {
    return name.find(' ') != std::string_view::npos;
}

// Names that start with the word, such as "explain job" for "explain".
std::string names_in_group(std::span<const command> commands, const std::string& word) {
    std::string names;
    for (const command& item : commands) {
        if (item.name.starts_with(word + ' ')) {
            names += (names.empty() ? "" : ", ") + std::string{item.name};
        }
    }
    return names;
}

std::string suggestion(std::span<const command> commands, const std::vector<std::string>& words) {
    std::vector<std::string> one_word_names;
    std::vector<std::string> two_word_names;
    for (const command& item : commands) {
        (is_two_words(item.name) ? two_word_names : one_word_names).emplace_back(item.name);
    }
    if (words.size() > 1) {
        if (const auto nearest = closest_name(words[0] + ' ' + words[1], two_word_names)) {
            return "; did you mean \"" + *nearest + "\"?";
        }
    }
    const std::string group = names_in_group(commands, words[0]);
    if (!group.empty()) {
        return "; there is " + group;
    }
    // The first words of two-word names are candidates too.
    for (const std::string& name : two_word_names) {
        one_word_names.push_back(name.substr(0, name.find(' ')));
    }
    if (const auto nearest = closest_name(words[0], one_word_names)) {
        return "; did you mean \"" + *nearest + "\"?";
    }
    return {};
}

int run_found(const command& found, const std::vector<std::string>& words, command_output output) {
    const std::ptrdiff_t name_words = is_two_words(found.name) ? 2 : 1;
    const std::vector<std::string> args{words.begin() + name_words, words.end()};
    try {
        return found.run(args, output);
    } catch (const std::exception& error) {
        output.err << found.name << ": " << error.what() << '\n';
        return exit_findings;
    }
}

} // namespace

int run_command_line(std::span<const command> commands, const std::vector<std::string>& words,
                     command_output output) {
    if (words.empty()) {
        output.err << usage(commands);
        return exit_usage;
    }
    if (words[0] == "--help" || words[0] == "help") {
        output.out << usage(commands);
        return exit_done;
    }
    if (words[0] == "--version") {
        output.out << program_name << ' ' << PERSIMMONSTILE_VERSION << '\n';
        return exit_done;
    }
    const command* found = find_command(commands, words);
    if (found != nullptr) {
        return run_found(*found, words, output);
    }
    output.err << "unknown command \"" << words[0] << '"' << suggestion(commands, words) << '\n';
    output.err << program_name << " --help lists the commands\n";
    return exit_usage;
}

} // namespace persimmonstile
