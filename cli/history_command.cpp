#include "cli/history_command.h"

#include "cli/config_output.h"
#include "cli/config_store.h"
#include "cli/store_options.h"
#include "transport/system_clock_source.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

int print_history(const fleet_document& document, std::size_t limit, bool as_json, command_output output) {
    const std::size_t count = std::min(limit, document.history.size());
    json list = json::array();
    for (auto record = document.history.rbegin();
         record != document.history.rbegin() + static_cast<std::ptrdiff_t>(count); ++record) {
        if (as_json)
            list.push_back(to_json(*record));
        else
            print_record(*record, output.out);
    }
    if (as_json)
        print_json({{"revision", document.revision},
                    {"reaches_back_to", document.reaches_back_to()},
                    {"records", std::move(list)}},
                   output.out);
    else
        output.out << "the history reaches back to revision " << document.reaches_back_to() << '\n';
    return exit_done;
}

} // namespace

int run_history(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile history", "Shows the changes of the configuration."};
    options.custom_help("--store URL --cell NAME [--limit N] [--json]");
    add_store_options(options);
    options.add_options()("limit", "number of changes to show", number_value(20));
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 0, output, line))
        return *code;
    if (const auto code = check_store_options(options, line, output))
        return *code;
    const bool as_json = line.options.count("json") > 0;
    const system_clock_source clock;
    const auto store = open_store(line, clock);
    const load_result loaded = load_config(*store, line.options["cell"].as<std::string>());
    if (const auto* const error = std::get_if<store_unavailable>(&loaded))
        return print_unavailable(*error, as_json, output);
    if (const auto* const findings = std::get_if<config_findings>(&loaded))
        return print_findings(*findings, as_json, output);
    return print_history(std::get<loaded_config>(loaded).document, number_option(line, "limit"), as_json,
                         output);
}

} // namespace persimmonstile
