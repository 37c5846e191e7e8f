#pragma once

#include "cli/load_client.h"
#include "cli/load_ideal.h"
#include "cli/load_metrics.h"
#include "cli/load_workload.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonstile {

// Percentiles by the nearest rank. All 0 without samples.
struct percentiles {
    std::size_t samples = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

// Responses of complete calls in milliseconds.
//   response, ideal, list  percentiles of each distribution
//   to_ideal               percentiles of the quotient of each call
//   to_alone               the same for the bound without other calls
struct response_figures {
    std::string name;
    std::size_t calls = 0;
    percentiles response;
    percentiles ideal;
    percentiles list;
    percentiles to_ideal;
    percentiles to_alone;
};

// Share of the work (run time at speed factor 1) that a team asked for and got.
struct team_figures {
    response_figures responses;
    double offered_s = 0;
    double done_s = 0;
};

// What ended within one second of the run.
struct second_figures {
    std::size_t calls = 0;
    std::size_t tasks = 0;
    double work_s = 0;
    std::size_t refused = 0;
};

struct load_report {
    std::uint64_t seed = 0;
    double calls_per_second = 0;
    // Offered work divided by the total speed of the slots.
    double offered_load = 0;
    std::size_t planned = 0;
    std::size_t complete = 0;
    std::size_t tasks = 0;
    std::map<std::string, std::size_t> refusals;
    std::map<std::string, std::size_t> failures;
    std::vector<std::string> mismatches;
    response_figures all;
    std::vector<response_figures> kinds;
    std::vector<team_figures> teams;
    // Jain's index of done/offered over the teams: 1 if all are served alike, 1/n if one of n gets
    // everything.
    double fairness = 1;
    std::vector<second_figures> seconds;
    std::optional<counter_by_kind> messages;
    std::optional<counter_by_kind> wasted;
    std::vector<std::string> unreachable_metrics;
};

// Computed responses that measured ones are compared with, in the order of the calls.
struct reference_responses {
    std::vector<ideal_response> ideal;
    // Of the list schedule.
    std::vector<std::chrono::duration<double>> list;
};

percentiles percentiles_of(std::vector<double> samples);

// Jain's fairness index; 1 without values or if all are 0.
double fairness_index(const std::vector<double>& values);

// Fills everything that follows from the calls. ideals and results are in the order of calls.
load_report make_report(const workload& load, const std::vector<planned_call>& calls,
                        const reference_responses& references, const std::vector<call_result>& results);

std::string report_json(const load_report& report);
void print_report(const load_report& report, std::ostream& out);

} // namespace persimmonstile
