#include "coordination/store_keys.h"
#include "protocol/record_codec.h"
#include "soak/callers.h"
#include "soak/deployment.h"
#include "soak/fault_series.h"
#include "soak/promise_check.h"
#include "soak/soak_options.h"
#include "transport/logging.h"
#include "transport/system_clock_source.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include <asio.hpp>
#include <cxxopts.hpp>

namespace persimmonstile::soak {

namespace {

constexpr int exit_kept = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

// How often processes, drains and acknowledgements are looked at.
constexpr milliseconds watch_interval{20};
// Longest wait at the beginning, and for the ends of kept jobs at the end.
constexpr milliseconds ready_limit{15000};
constexpr milliseconds warm_up{2000};

cxxopts::Options make_options() {
    cxxopts::Options options{"persimmonstile-soak",
                             "Runs the daemons as processes under random faults and checks their promises."};
    options.add_options()("help", "Print this help");
    options.add_options()("programs", "Directory of the programs", cxxopts::value<std::string>());
    options.add_options()("work", "Directory for settings and logs", cxxopts::value<std::string>());
    options.add_options()("seed", "Seed of jobs and faults",
                          cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("entries", "Entries", cxxopts::value<int>()->default_value("3"));
    options.add_options()("backends", "Backend servers, each with an agent",
                          cxxopts::value<int>()->default_value("6"));
    options.add_options()("rate", "Jobs per second", cxxopts::value<double>()->default_value("60"));
    options.add_options()("kept", "Part of the jobs that are kept",
                          cxxopts::value<double>()->default_value("0.3"));
    options.add_options()("rounds", "Storms of faults", cxxopts::value<int>()->default_value("2"));
    options.add_options()("storm-ms", "Length of a storm", cxxopts::value<int>()->default_value("8000"));
    options.add_options()("calm-ms", "Length of the calm time after it",
                          cxxopts::value<int>()->default_value("6000"));
    options.add_options()("fault-rate", "Faults per second of a storm",
                          cxxopts::value<double>()->default_value("1.2"));
    options.add_options()("log-level", "Log level of the daemons",
                          cxxopts::value<std::string>()->default_value("info"));
    return options;
}

soak_options read_options(const cxxopts::ParseResult& parsed) {
    soak_options options;
    options.programs = parsed["programs"].as<std::string>();
    options.work = parsed["work"].as<std::string>();
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.entries = parsed["entries"].as<int>();
    options.backends = parsed["backends"].as<int>();
    options.jobs_per_second = parsed["rate"].as<double>();
    options.kept = parsed["kept"].as<double>();
    options.rounds = parsed["rounds"].as<int>();
    options.storm = milliseconds{parsed["storm-ms"].as<int>()};
    options.calm = milliseconds{parsed["calm-ms"].as<int>()};
    options.faults_per_second = parsed["fault-rate"].as<double>();
    options.log_level = parsed["log-level"].as<std::string>();
    return options;
}

// One run: the deployment, its callers, the faults, and what watches them.
class soak_run {
public:
    soak_run(asio::io_context& context, const soak_options& options, const clock_source& clock)
        : context_{context}
        , options_{options}
        , clock_{clock}
        , world_{context, options, clock, &callers::work_in,
                 [this](const backend_profile& backend, const order_backend::event& event, bool is_late) {
                     const std::size_t before = check_.violations().size();
                     check_.run_event(backend, event, is_late);
                     for (std::size_t i = before; i < check_.violations().size(); ++i)
                         log_event(log_level::error, "check", "broken promise",
                                   {{"promise", check_.violations()[i]}});
                 }}
        , callers_{context, options, clock, world_.config(), targets(), check_}
        , faults_{context, options, clock, world_, check_}
        , watch_timer_{context} {}

    // Plays all rounds. Returns whether every promise was kept.
    bool play() {
        watch();
        check_.fault_begun();
        run_for(warm_up);
        check_.fault_ended(clock_.now());
        callers_.start();
        const microseconds entries_before = deployment::processor_time(world_.entries());
        const microseconds agents_before = deployment::processor_time(world_.agents());
        run_for(options_.calm);
        entry_time_ = deployment::processor_time(world_.entries()) - entries_before;
        agent_time_ = deployment::processor_time(world_.agents()) - agents_before;
        first_jobs_ = std::max<std::size_t>(1, callers_.totals().jobs);
        for (int round = 0; round < options_.rounds; ++round) {
            callers_.set_calm(false);
            faults_.storm(options_.storm);
            run_for(options_.storm);
            run_until([this] { return faults_.is_calm(); }, ready_limit);
            faults_.plan_work();
            run_for(bounds_.contact);
            callers_.set_calm(true);
            run_for(options_.calm);
        }
        callers_.set_calm(false);
        callers_.stop_submitting();
        run_until([this] { return callers_.open_jobs().empty(); }, bounds_.finish + bounds_.contact);
        check_.finish(clock_.now());
        return report();
    }

private:
    std::vector<callers::target> targets() {
        std::vector<callers::target> result;
        for (const daemon_node& entry : world_.entries())
            result.push_back({entry.front_address, entry.ready_address});
        return result;
    }

    void run_for(milliseconds time) {
        const time_point end = clock_.now() + time;
        run_until([this, end] { return clock_.now() >= end; }, time);
    }

    template <typename Condition> void run_until(Condition is_met, milliseconds limit) {
        const time_point end = clock_.now() + limit;
        while (!is_met() && clock_.now() < end)
            context_.run_one_for(watch_interval);
    }

    void watch() {
        own_ends_ += world_.restart_ended();
        largest_memory_ = std::max(largest_memory_, world_.resident_bytes());
        for (std::size_t i = 0; i < world_.backend_count(); ++i) {
            const order_server& server = world_.backend(i);
            const backend_profile& profile = server.backend().profile();
            if (server.is_drain_known())
                check_.drain_acknowledged(profile.id, clock_.now());
        }
        watch_timer_.expires_after(watch_interval);
        watch_timer_.async_wait([this](asio::error_code error) {
            if (!error)
                watch();
        });
    }

    // What the store holds about a job, for a report.
    std::string stored_state(const job_id& job) {
        const auto& items = world_.store().model().items();
        const auto found = items.find(job_key(job));
        if (found == items.end())
            return "not in the store";
        const auto* bytes = std::get_if<std::string>(&found->second.value);
        const auto record = bytes != nullptr ? decode_record<stored_record>(*bytes) : std::nullopt;
        const auto* status = record ? std::get_if<job_status>(&*record) : nullptr;
        if (status == nullptr)
            return "unreadable in the store";
        return "in the store " + std::string{to_string(status->state)} + " since revision " +
               std::to_string(found->second.revision) + ", accepted by " + session_text(status->owner);
    }

    bool report() {
        const caller_totals& totals = callers_.totals();
        std::vector<std::string> broken = check_.violations();
        if (own_ends_ > 0)
            broken.push_back("processes: " + std::to_string(own_ends_) + " ended by themselves");
        for (const job_id& job : callers_.open_jobs())
            broken.push_back("answers: " + job + " has no known end; " + stored_state(job));
        // What RULES of the users ask of recovery: a quarter of the callers served once everything is back.
        if (totals.calm_completed * 4 < totals.calm_jobs)
            broken.push_back("recovery: " + std::to_string(totals.calm_completed) + " of " +
                             std::to_string(totals.calm_jobs) + " jobs of calm times were completed");
        int faults = 0;
        for (const auto& [kind, count] : faults_.counts())
            faults += count;
        std::cout << "seed " << options_.seed << ": " << faults << " faults, " << totals.jobs << " jobs ("
                  << totals.completed << " completed, " << totals.failed << " failed, " << totals.cancelled
                  << " cancelled, " << totals.refused << " refusals, " << totals.unanswered
                  << " tries without an answer), calm " << totals.calm_completed << " of " << totals.calm_jobs
                  << ", " << check_.starts() << " starts, " << broken.size() << " violations, "
                  << world_.process_count() << " processes, " << largest_memory_ / (std::size_t{1024} * 1024)
                  << " MB\n  processor time of a job before the first fault: "
                  << entry_time_.count() / static_cast<std::int64_t>(first_jobs_) << " us at entries, "
                  << agent_time_.count() / static_cast<std::int64_t>(first_jobs_) << " us at agents\n";
        for (const auto& [kind, count] : faults_.counts())
            std::cout << "  " << kind << ": " << count << '\n';
        for (const std::string& violation : broken)
            std::cout << "  BROKEN " << violation << '\n';
        return broken.empty();
    }

    asio::io_context& context_;
    const soak_options& options_;
    const clock_source& clock_;
    promise_bounds bounds_;
    promise_check check_;
    deployment world_;
    callers callers_;
    fault_series faults_;
    asio::steady_timer watch_timer_;
    int own_ends_ = 0;
    std::size_t largest_memory_ = 0;
    // Before the first fault, idle work included.
    microseconds entry_time_{0};
    microseconds agent_time_{0};
    std::size_t first_jobs_ = 1;
};

int run(int argc, char** argv) {
    cxxopts::Options options = make_options();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exit_kept;
    }
    if (parsed.count("programs") == 0 || parsed.count("work") == 0) {
        std::cerr << "--programs and --work are required\n";
        return exit_usage;
    }
    const soak_options chosen = read_options(parsed);
    std::signal(SIGPIPE, SIG_IGN);
    const system_clock_source clock;
    start_logging({log_level::info, log_options::standard_output, "soak"}, clock);
    asio::io_context context{1};
    soak_run soak{context, chosen, clock};
    const bool is_kept = soak.play();
    return is_kept ? exit_kept : exit_broken;
}

} // namespace

} // namespace persimmonstile::soak

int main(int argc, char** argv) {
    try {
        return persimmonstile::soak::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "persimmonstile-soak: " << error.what() << '\n';
        return persimmonstile::soak::exit_usage;
    }
}
