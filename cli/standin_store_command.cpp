#include "cli/standin_store_command.h"

#include "cli/parsed_arguments.h"
#include "standins/store_standin.h"
#include "transport/system_clock_source.h"

#include <csignal>
#include <exception>
#include <limits>

namespace persimmonstile {

namespace {

// Blocks the signals that end the command, so that they wait until they are asked for. Threads started
// afterwards inherit this; otherwise the signal could end the process in one of them.
sigset_t block_termination_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int run_standin_store(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options{"persimmonstile standin store", "Stand-in for the key-value service."};
    options.add_options()("port", "port on 127.0.0.1; 0 lets the system choose", number_value(0));
    parsed_arguments line;
    if (const auto code = parse_arguments(options, args, 0, 0, output, line))
        return *code;
    const std::uint64_t port = number_option(line, "port");
    if (port > std::numeric_limits<std::uint16_t>::max())
        return print_usage_error(options, "--port must be at most 65535", output);
    const sigset_t signals = block_termination_signals();
    const system_clock_source clock;
    store_standin_options standin_options;
    standin_options.port = static_cast<std::uint16_t>(port);
    try {
        const store_standin standin{standin_options, clock};
        output.out << "store stand-in at " << standin.url() << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
    } catch (const std::exception& error) {
        output.err << "the store stand-in could not start: " << error.what() << '\n';
        return exit_findings;
    }
    return exit_done;
}

} // namespace persimmonstile
