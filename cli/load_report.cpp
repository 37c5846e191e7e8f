#include "cli/load_report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using json = nlohmann::json;
using fractional_milliseconds = std::chrono::duration<double, std::milli>;
using fractional_seconds = std::chrono::duration<double>;

// One run with everything that is known about its calls.
struct observed_run {
    const workload& load;
    const std::vector<planned_call>& calls;
    const reference_responses& references;
    const std::vector<call_result>& results;
};

double work_of(const planned_call& call) {
    return fractional_seconds{
        std::accumulate(call.run_times.begin(), call.run_times.end(), std::chrono::milliseconds{0})}
        .count();
}

// Figures of the complete calls whose index the filter selects.
response_figures figures_of(const observed_run& run, const std::string& name,
                            const std::function<bool(std::size_t)>& is_selected) {
    response_figures figures;
    figures.name = name;
    std::vector<double> response;
    std::vector<double> ideal;
    std::vector<double> list;
    std::vector<double> to_ideal;
    std::vector<double> to_alone;
    for (std::size_t i = 0; i < run.calls.size(); ++i) {
        if (!is_selected(i)) {
            continue;
        }
        ++figures.calls;
        if (run.results[i].end != call_end::complete) {
            continue;
        }
        const fractional_milliseconds measured = run.results[i].response;
        const fractional_milliseconds best = run.references.ideal[i].ideal;
        const fractional_milliseconds alone = run.references.ideal[i].alone;
        response.push_back(measured.count());
        ideal.push_back(best.count());
        list.push_back(fractional_milliseconds{run.references.list[i]}.count());
        to_ideal.push_back(measured / best);
        to_alone.push_back(measured / alone);
    }
    figures.response = percentiles_of(std::move(response));
    figures.ideal = percentiles_of(std::move(ideal));
    figures.list = percentiles_of(std::move(list));
    figures.to_ideal = percentiles_of(std::move(to_ideal));
    figures.to_alone = percentiles_of(std::move(to_alone));
    return figures;
}

team_figures figures_of_team(const observed_run& run, const std::string& team) {
    team_figures figures;
    figures.responses = figures_of(run, team, [&](std::size_t i) { return run.calls[i].team == team; });
    for (std::size_t i = 0; i < run.calls.size(); ++i) {
        if (run.calls[i].team != team) {
            continue;
        }
        figures.offered_s += work_of(run.calls[i]);
        figures.done_s += run.results[i].end == call_end::complete ? work_of(run.calls[i]) : 0;
    }
    return figures;
}

void add_second(std::vector<second_figures>& seconds, const planned_call& call, const call_result& result) {
    const auto second =
        static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(result.ended_at).count());
    if (second >= seconds.size()) {
        seconds.resize(second + 1);
    }
    if (result.end == call_end::complete) {
        ++seconds[second].calls;
        seconds[second].tasks += call.run_times.size();
        seconds[second].work_s += work_of(call);
    }
    seconds[second].refused += result.end == call_end::refused ? 1U : 0U;
}

void add_end(load_report& report, const call_result& result) {
    switch (result.end) {
    case call_end::complete:
        ++report.complete;
        return;
    case call_end::mismatch:
        report.mismatches.push_back(result.detail);
        return;
    case call_end::refused:
        ++report.refusals[result.detail];
        return;
    case call_end::failed:
    case call_end::no_answer:
        ++report.failures[result.detail];
        return;
    }
}

json to_json(const percentiles& values) {
    return {{"samples", values.samples}, {"p50", values.p50}, {"p99", values.p99}, {"p99.9", values.p999}};
}

json to_json(const response_figures& figures) {
    return {{"name", figures.name},
            {"calls", figures.calls},
            {"response_ms", to_json(figures.response)},
            {"ideal_ms", to_json(figures.ideal)},
            {"list_ms", to_json(figures.list)},
            {"to_ideal", to_json(figures.to_ideal)},
            {"to_alone", to_json(figures.to_alone)}};
}

json to_json(const team_figures& figures) {
    json result = to_json(figures.responses);
    result["offered_s"] = figures.offered_s;
    result["done_s"] = figures.done_s;
    return result;
}

json to_json(const second_figures& figures) {
    return {{"calls", figures.calls},
            {"tasks", figures.tasks},
            {"work_s", figures.work_s},
            {"refused", figures.refused}};
}

template <typename Figures> json to_json(const std::vector<Figures>& list) {
    json result = json::array();
    for (const Figures& figures : list) {
        result.push_back(to_json(figures));
    }
    return result;
}

json to_json(const std::optional<counter_by_kind>& counter) {
    return counter ? json(*counter) : json(nullptr);
}

double total_of(const counter_by_kind& counter) {
    return std::accumulate(counter.begin(), counter.end(), 0.0,
                           [](double sum, const auto& entry) { return sum + entry.second; });
}

void print_figures(const response_figures& figures, std::ostream& out) {
    out << fmt::format("{:<26}{:>7}", figures.name, figures.response.samples);
    for (const percentiles& values : {figures.response, figures.ideal, figures.list}) {
        out << fmt::format("{:>9.1f}{:>9.1f}{:>9.1f}", values.p50, values.p99, values.p999);
    }
    out << fmt::format("{:>8.2f}{:>8.2f}{:>8.2f}\n", figures.to_ideal.p50, figures.to_ideal.p99,
                       figures.to_ideal.p999);
}

void print_counter(const std::string& title, const std::optional<counter_by_kind>& counter, std::size_t tasks,
                   std::ostream& out) {
    if (!counter) {
        out << title << ": counter absent\n";
        return;
    }
    const double divisor = tasks == 0 ? 1 : static_cast<double>(tasks);
    out << fmt::format("{}: {:.0f}, per task {:.3f}\n", title, total_of(*counter),
                       total_of(*counter) / divisor);
    for (const auto& [kind, value] : *counter) {
        out << fmt::format("  {:<28}{:>12.0f}{:>10.3f}\n", kind, value, value / divisor);
    }
}

void print_counts(const std::string& title, const std::map<std::string, std::size_t>& counts,
                  std::ostream& out) {
    out << title << ":" << (counts.empty() ? " none\n" : "\n");
    for (const auto& [reason, count] : counts) {
        out << fmt::format("  {:<60}{:>8}\n", reason, count);
    }
}

} // namespace

percentiles percentiles_of(std::vector<double> samples) {
    percentiles result;
    result.samples = samples.size();
    if (samples.empty()) {
        return result;
    }
    std::sort(samples.begin(), samples.end());
    const auto at_rank = [&](double share) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
        return samples[std::max<std::size_t>(rank, 1) - 1];
    };
    result.p50 = at_rank(0.5);
    result.p99 = at_rank(0.99);
    result.p999 = at_rank(0.999);
    return result;
}

double fairness_index(const std::vector<double>& values) {
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

load_report make_report(const workload& load, const std::vector<planned_call>& calls,
                        const reference_responses& references, const std::vector<call_result>& results) {
    const observed_run run{load, calls, references, results};
    load_report report;
    report.planned = calls.size();
    std::vector<std::string> teams;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        report.tasks += calls[i].run_times.size();
        add_end(report, results[i]);
        add_second(report.seconds, calls[i], results[i]);
        teams.push_back(calls[i].team);
    }
    report.all = figures_of(run, "all", [](std::size_t) { return true; });
    for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
        report.kinds.push_back(
            figures_of(run, load.kinds[kind].name, [&](std::size_t i) { return calls[i].kind == kind; }));
    }
    std::sort(teams.begin(), teams.end());
    teams.erase(std::unique(teams.begin(), teams.end()), teams.end());
    std::vector<double> served;
    for (const std::string& team : teams) {
        report.teams.push_back(figures_of_team(run, team));
        served.push_back(report.teams.back().done_s / report.teams.back().offered_s);
    }
    report.fairness = fairness_index(served);
    return report;
}

std::string report_json(const load_report& report) {
    const json document{{"seed", report.seed},
                        {"calls_per_second", report.calls_per_second},
                        {"offered_load", report.offered_load},
                        {"planned", report.planned},
                        {"complete", report.complete},
                        {"tasks", report.tasks},
                        {"refusals", report.refusals},
                        {"failures", report.failures},
                        {"mismatches", report.mismatches},
                        {"all", to_json(report.all)},
                        {"kinds", to_json(report.kinds)},
                        {"teams", to_json(report.teams)},
                        {"fairness", report.fairness},
                        {"seconds", to_json(report.seconds)},
                        {"messages", to_json(report.messages)},
                        {"wasted_messages", to_json(report.wasted)},
                        {"unreachable_metrics", report.unreachable_metrics}};
    return document.dump(2);
}

void print_report(const load_report& report, std::ostream& out) {
    out << fmt::format("seed {}, {:.1f} calls/s, offered load {:.2f}, {} calls with {} tasks, {} complete\n",
                       report.seed, report.calls_per_second, report.offered_load, report.planned,
                       report.tasks, report.complete);
    out << fmt::format("{:<33}{:>27}{:>27}{:>27}{:>24}\n", "", "response ms", "ideal ms", "list schedule ms",
                       "response/ideal");
    out << fmt::format("{:<26}{:>7}", "call", "n");
    for (int i = 0; i < 3; ++i) {
        out << fmt::format("{:>9}{:>9}{:>9}", "p50", "p99", "p99.9");
    }
    out << fmt::format("{:>8}{:>8}{:>8}\n", "p50", "p99", "p99.9");
    print_figures(report.all, out);
    for (const response_figures& kind : report.kinds) {
        print_figures(kind, out);
    }
    out << "teams, fairness " << fmt::format("{:.3f}", report.fairness) << '\n';
    for (const team_figures& team : report.teams) {
        print_figures(team.responses, out);
        out << fmt::format("  work offered {:.1f} s, done {:.1f} s\n", team.offered_s, team.done_s);
    }
    print_counts("refusals", report.refusals, out);
    print_counts("failures", report.failures, out);
    print_counter("messages", report.messages, report.tasks, out);
    print_counter("wasted messages", report.wasted, report.tasks, out);
    for (const std::string& url : report.unreachable_metrics) {
        out << "no metrics from " << url << '\n';
    }
    out << fmt::format("{:>8}{:>9}{:>9}{:>10}{:>9}\n", "second", "calls", "tasks", "work s", "refused");
    for (std::size_t i = 0; i < report.seconds.size(); ++i) {
        const second_figures& second = report.seconds[i];
        out << fmt::format("{:>8}{:>9}{:>9}{:>10.2f}{:>9}\n", i, second.calls, second.tasks, second.work_s,
                           second.refused);
    }
    for (const std::string& mismatch : report.mismatches) {
        out << "MISMATCH " << mismatch << '\n';
    }
}

} // namespace persimmonstile
