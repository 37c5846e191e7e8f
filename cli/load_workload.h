#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmonstile {

// Run times at speed factor 1: log-uniform between shortest and longest, and for a share of the tasks uniform
// between long_shortest and long_longest.
struct run_time_distribution {
    std::chrono::milliseconds shortest{50};
    std::chrono::milliseconds longest{1000};
    double long_share = 0;
    std::chrono::milliseconds long_shortest{0};
    std::chrono::milliseconds long_longest{0};
};

struct weighted_team {
    std::string name;
    double weight = 1;
};

// One kind of call. method is empty for a job.
struct call_kind {
    std::string name;
    std::string method;
    double weight = 1;
    std::vector<weighted_team> teams;
    std::uint32_t fewest_tasks = 1;
    std::uint32_t most_tasks = 1;
    run_time_distribution run_time;
    // 0 for the service's default.
    std::chrono::milliseconds deadline{0};
};

// What callers send. burst_size calls arrive at the same moment; 1 gives a Poisson process.
struct workload {
    std::string service;
    std::uint32_t burst_size = 1;
    std::vector<call_kind> kinds;
};

// Places in the JSON text that are wrong, as "JSON pointer: what is expected".
struct workload_findings {
    std::vector<std::string> findings;
};

// Reads the format described in docs/load.md.
std::variant<workload, workload_findings> parse_workload(const std::string& text);

// One call to be sent at an offset from the start of the run. kind is an index into workload::kinds.
struct planned_call {
    std::chrono::nanoseconds send_at{0};
    std::size_t kind = 0;
    std::string team;
    std::vector<std::chrono::milliseconds> run_times;
};

// Expected total run time of one call at speed factor 1.
std::chrono::duration<double> mean_work(const workload& load);

// Calls of one run in order of their send times. The same arguments give the same calls.
std::vector<planned_call> plan_calls(const workload& load, double calls_per_second,
                                     std::chrono::seconds duration, std::uint64_t seed);

} // namespace persimmonstile
