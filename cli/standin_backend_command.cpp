#include "cli/standin_backend_command.h"

#include "standins/backend_standin.h"

#include <chrono>
#include <csignal>
#include <exception>
#include <ostream>
#include <stdexcept>

#include <asio.hpp>
#include <cxxopts.hpp>

namespace persimmonstile {

namespace {

constexpr std::chrono::milliseconds drain_poll_interval{20};

// The agent may have sent a task just before it read the announcement. No task for this long means that none
// is on its way.
constexpr std::chrono::milliseconds quiet_time{200};

// An agent that is gone cannot accept the announcement.
constexpr std::chrono::milliseconds announcement_timeout{2000};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile standin backend",
                             "Runs a backend server stand-in on 127.0.0.1."};
    options.add_options()("help", "Print this help");
    options.add_options()("port", "Port, 0 for a free one",
                          cxxopts::value<std::uint16_t>()->default_value("0"));
    options.add_options()("name", "Name in the start log",
                          cxxopts::value<std::string>()->default_value("backend"));
    options.add_options()("agent", "Base URL of the agent to announce to",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("service", "Service", cxxopts::value<std::string>()->default_value("default"));
    options.add_options()("slots", "Tasks at a time", cxxopts::value<std::uint32_t>()->default_value("8"));
    options.add_options()("connections", "Connections announced",
                          cxxopts::value<std::uint32_t>()->default_value("64"));
    options.add_options()("speed", "Run times are divided by this",
                          cxxopts::value<double>()->default_value("1"));
    options.add_options()("run-ms", "Run time of every task instead of run_ms in its body",
                          cxxopts::value<std::uint32_t>());
    options.add_options()("fault", "none, fail, hang, slow, wrong_task_id, swap, twice_late or decline",
                          cxxopts::value<std::string>()->default_value("none"));
    options.add_options()("start-log", "File that receives one JSON line per start",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("drain-ms", "Longest wait for requests in progress at the end",
                          cxxopts::value<std::uint32_t>()->default_value("30000"));
    return options;
}

backend_settings settings_from(const cxxopts::ParseResult& parsed) {
    backend_settings settings;
    settings.port = parsed["port"].as<std::uint16_t>();
    settings.name = parsed["name"].as<std::string>();
    settings.agent_url = parsed["agent"].as<std::string>();
    settings.service = parsed["service"].as<std::string>();
    settings.slots = parsed["slots"].as<std::uint32_t>();
    settings.connections = parsed["connections"].as<std::uint32_t>();
    settings.speed = parsed["speed"].as<double>();
    settings.start_log = parsed["start-log"].as<std::string>();
    if (parsed.count("run-ms") > 0) {
        settings.fixed_run_time = std::chrono::milliseconds{parsed["run-ms"].as<std::uint32_t>()};
    }
    const std::string fault = parsed["fault"].as<std::string>();
    const auto parsed_fault = parse_backend_fault(fault);
    if (!parsed_fault) {
        throw std::invalid_argument("unknown fault '" + fault + "'");
    }
    settings.fault = *parsed_fault;
    if (settings.slots == 0 || settings.speed <= 0) {
        throw std::invalid_argument("--slots and --speed must be positive");
    }
    return settings;
}

// Waits until the announcement is accepted and no request is in progress, or until the limit.
class drain {
public:
    drain(asio::io_context& context, backend_standin& server, std::chrono::milliseconds limit)
        : server_(server)
        , timer_(context)
        , start_(std::chrono::steady_clock::now())
        , quiet_since_(start_)
        , limit_(limit) {}

    void start() {
        server_.set_announced_state(backend_announced_state::leaving);
        poll();
    }

    bool is_complete() const { return complete_; }

private:
    void poll() {
        const auto now = std::chrono::steady_clock::now();
        const backend_counts counts = server_.counts();
        const std::uint64_t arrived = counts.in_progress + counts.finished + counts.declined + counts.hung;
        if (counts.in_progress > 0 || arrived != arrived_) {
            quiet_since_ = now;
            arrived_ = arrived;
        }
        const bool announced = server_.is_announcement_accepted() || now - start_ >= announcement_timeout;
        complete_ = announced && now - quiet_since_ >= quiet_time;
        if (complete_ || now - start_ >= limit_) {
            return;
        }
        timer_.expires_after(drain_poll_interval);
        timer_.async_wait([this](const std::error_code&) { poll(); });
    }

    backend_standin& server_;
    asio::steady_timer timer_;
    const std::chrono::steady_clock::time_point start_;
    std::chrono::steady_clock::time_point quiet_since_;
    const std::chrono::milliseconds limit_;
    std::uint64_t arrived_ = 0;
    bool complete_ = false;
};

int serve(const backend_settings& settings, std::chrono::milliseconds drain_limit, command_output output) {
    asio::io_context context;
    // Registered before the port is printed, because a caller may send a signal from then on.
    asio::signal_set signals{context, SIGTERM, SIGINT};
    backend_standin server{settings};
    output.out << "listening on 127.0.0.1:" << server.port() << std::endl;
    signals.async_wait([](const std::error_code&, int) {});
    context.run();
    context.restart();
    drain ending{context, server, drain_limit};
    ending.start();
    context.run();
    if (!ending.is_complete()) {
        output.err << "stopped with requests in progress after " << drain_limit.count() << " ms\n";
        return exit_findings;
    }
    return exit_done;
}

} // namespace

int run_standin_backend(const std::vector<std::string>& args, command_output output) {
    cxxopts::Options options = make_options();
    backend_settings settings;
    std::chrono::milliseconds drain_limit{0};
    try {
        std::vector<const char*> words{"standin backend"};
        for (const std::string& arg : args) {
            words.push_back(arg.c_str());
        }
        const auto parsed = options.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") > 0) {
            output.out << options.help() << '\n';
            return exit_done;
        }
        settings = settings_from(parsed);
        drain_limit = std::chrono::milliseconds{parsed["drain-ms"].as<std::uint32_t>()};
    } catch (const std::exception& error) {
        output.err << error.what() << '\n';
        return exit_usage;
    }
    try {
        return serve(settings, drain_limit, output);
    } catch (const std::exception& error) {
        output.err << error.what() << '\n';
        return exit_findings;
    }
}

} // namespace persimmonstile
