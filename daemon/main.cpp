#include "daemon/agent_daemon.h"
#include "daemon/daemon_options.h"
#include "daemon/entry_daemon.h"
#include "platform/daemons.h"
#include "protocol/settings_reader.h"
#include "transport/logging.h"
#include "transport/system_clock_source.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {

namespace {

constexpr int exit_done = 0;
constexpr int exit_findings = 1;
constexpr int exit_usage = 2;
constexpr std::chrono::milliseconds drain_poll_interval{20};
// Upper bound on the wait for a slow reader of the log before the process exits.
constexpr std::chrono::milliseconds log_flush_timeout{100};
constexpr const char* component = "daemon";

// Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully. A second signal stops it at once.
template <typename Daemon> void run(Daemon& daemon, const daemon_settings& settings) {
    asio::io_context context;
    asio::signal_set signals{context, SIGTERM, SIGINT};
    asio::steady_timer drain_poll_timer{context};
    asio::steady_timer shutdown_timer{context};
    const std::function<void()> wait_until_drained = [&] {
        drain_poll_timer.expires_after(drain_poll_interval);
        drain_poll_timer.async_wait([&](asio::error_code error) {
            if (error)
                return;
            if (daemon.is_drained())
                context.stop();
            else
                wait_until_drained();
        });
    };
    signals.async_wait([&](asio::error_code, int) {
        daemon.begin_shutdown();
        shutdown_timer.expires_after(std::chrono::milliseconds{settings.shutdown_timeout_ms});
        shutdown_timer.async_wait([&](asio::error_code error) {
            if (error)
                return;
            log_event(log_level::warn, component, "graceful shutdown timed out");
            context.stop();
        });
        signals.async_wait([&](asio::error_code, int) { context.stop(); });
        wait_until_drained();
    });
    context.run();
    daemon.stop();
}

int run_with_settings(const daemon_settings& settings, const std::string& settings_path) {
    const system_clock_source clock;
    start_logging({parse_log_level(settings.log_level).value_or(log_level::info),
                   log_options::standard_output, settings.name},
                  clock);
    if (settings.deployment == deployment_kind::hangerloop) {
        if (settings.role == daemon_role::entry)
            platform::run_entry(settings, settings_path);
        else
            platform::run_agent(settings, settings_path);
        // The logging library joins its worker threads when static objects are destroyed. This has taken
        // longer than the platform's grace period, so the destructors of static objects are skipped.
        flush_log(log_flush_timeout);
        std::quick_exit(exit_done);
    }
    if (settings.role == daemon_role::entry) {
        entry_daemon daemon{settings, clock};
        run(daemon, settings);
    } else {
        agent_daemon daemon{settings, clock};
        run(daemon, settings);
    }
    flush_log(log_flush_timeout);
    return exit_done;
}

int run_daemon(const std::vector<std::string>& args) {
    const auto parsed = parse_daemon_options(args);
    if (const auto* error = std::get_if<usage_error>(&parsed)) {
        std::cerr << error->detail << '\n';
        return exit_usage;
    }
    const auto& options = std::get<daemon_options>(parsed);
    if (options.help) {
        std::cout << daemon_help();
        return exit_done;
    }
    if (options.version) {
        std::cout << "persimmonstiled " << PERSIMMONSTILE_VERSION << '\n';
        return exit_done;
    }
    const auto settings = read_settings(options.settings_path, options.overrides);
    if (const auto* problems = std::get_if<findings>(&settings)) {
        for (const finding& problem : *problems)
            std::cerr << to_text(problem) << '\n';
        return exit_findings;
    }
    if (options.check)
        return exit_done;
    return run_with_settings(std::get<daemon_settings>(settings), options.settings_path);
}

} // namespace

} // namespace persimmonstile

int main(int argc, char** argv) {
    try {
        return persimmonstile::run_daemon({argv + 1, argv + argc});
    } catch (const std::exception& error) {
        std::cerr << "persimmonstiled: " << error.what() << '\n';
        return 1;
    }
}
