#include "cli/local_command.h"

#include "cli/local_deployment.h"
#include "transport/logging.h"
#include "transport/system_clock_source.h"

#include <csignal>
#include <optional>

#include <asio.hpp>
#include <cxxopts.hpp>

namespace persimmonstile {

namespace {

constexpr std::chrono::seconds ready_limit{30};

// Backend servers were bought over years: their speeds differ by a factor of up to 4.
double mixed_speed(std::size_t index) {
    return 1.0 + 0.3 * static_cast<double>(index % 11);
}

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile local", "Run a whole deployment in one process on loopback"};
    options.add_options()("help", "Print this help");
    options.add_options()("entries", "Entries", cxxopts::value<std::size_t>()->default_value("3"));
    options.add_options()("agents", "Agents, at least 3, each with a backend server stand-in",
                          cxxopts::value<std::size_t>()->default_value("11"));
    options.add_options()("slots", "Tasks at a time on each backend server",
                          cxxopts::value<std::uint32_t>()->default_value("8"));
    options.add_options()("port", "HTTP port of the first entry, 0 for free ones",
                          cxxopts::value<std::uint16_t>()->default_value("8080"));
    options.add_options()("service", "Name of the service",
                          cxxopts::value<std::string>()->default_value("dispatch"));
    return options;
}

void wait_for_signal() {
    asio::io_context context;
    asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([](asio::error_code, int) {});
    context.run();
}

int run_deployment(const local_options& chosen, command_output output) {
    const system_clock_source clock;
    start_logging({log_level::warn, log_options::standard_error, {}}, clock);
    local_deployment deployment{chosen, clock};
    if (!deployment.wait_until_ready(ready_limit)) {
        output.err << "the deployment is not ready after " << ready_limit.count() << " s\n";
        return exit_findings;
    }
    for (std::size_t i = 0; i < chosen.entries; ++i)
        output.out << "entry " << deployment.entry_url(i) << '\n';
    output.out << "ready; submit to service " << chosen.service << ", team " << chosen.team << std::endl;
    wait_for_signal();
    return exit_done;
}

} // namespace

int run_local(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    std::vector<const char*> words{"local"};
    for (const std::string& word : args)
        words.push_back(word.c_str());
    local_options chosen;
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") > 0) {
            output.out << options.help() << '\n';
            return exit_done;
        }
        chosen.entries = parsed["entries"].as<std::size_t>();
        chosen.agents = parsed["agents"].as<std::size_t>();
        chosen.slots = parsed["slots"].as<std::uint32_t>();
        chosen.first_port = parsed["port"].as<std::uint16_t>();
        chosen.service = parsed["service"].as<std::string>();
    } catch (const cxxopts::exceptions::exception& error) {
        output.err << error.what() << '\n';
        return exit_usage;
    }
    chosen.speed = mixed_speed;
    return run_deployment(chosen, output);
}

} // namespace persimmonstile
