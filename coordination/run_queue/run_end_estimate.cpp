#include "coordination/run_queue/run_end_estimate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace persimmonstile {

namespace {

struct remaining_point {
    // Both in expected run times.
    double elapsed;
    double remaining;
};

// Median of the remaining run time, given the elapsed one. Computed for run times of which 97% are log-normal
// with a spread of 0.5 (0.4 of the tasks, and the error of the expectation) and 3% are evenly spread up to 7
// times the mean. Just after its expected time a run is likely to end soon; from about twice that time on it
// is likely to be one of the long 3%.
constexpr std::array<remaining_point, 15> remaining_points{{{0, 0.9},
                                                            {0.25, 0.653},
                                                            {0.5, 0.476},
                                                            {0.75, 0.399},
                                                            {1, 0.376},
                                                            {1.25, 0.385},
                                                            {1.5, 0.419},
                                                            {1.75, 0.483},
                                                            {2, 0.591},
                                                            {2.5, 1.005},
                                                            {3, 1.424},
                                                            {3.5, 1.515},
                                                            {4, 1.406},
                                                            {5, 0.987},
                                                            {6, 0.5}}};

// A run that should have ended by its progress is expected to need this part of its run time so far.
constexpr std::int64_t overdue_divisor = 20;

// A stopped run ends when the backend server has executed the order, after two messages on one machine.
constexpr milliseconds stop_time{5};

double median_remaining_ratio(double elapsed) {
    const auto next = std::find_if(remaining_points.begin(), remaining_points.end(),
                                   [&](const remaining_point& point) { return point.elapsed > elapsed; });
    if (next == remaining_points.end())
        return remaining_points.back().remaining;
    if (next == remaining_points.begin())
        return next->remaining;
    const remaining_point& previous = *std::prev(next);
    const double part = (elapsed - previous.elapsed) / (next->elapsed - previous.elapsed);
    return previous.remaining + part * (next->remaining - previous.remaining);
}

} // namespace

std::optional<milliseconds> remaining_by_progress(const active_run& run) {
    if (run.percent < min_extrapolated_percent || run.elapsed_at_progress.count() <= 0)
        return std::nullopt;
    // The percentage is rounded down, so on average it is half a percent more.
    const double total = static_cast<double>(run.elapsed_at_progress.count()) * 100 / (run.percent + 0.5);
    return milliseconds{std::llround(total)} - run.elapsed;
}

std::optional<milliseconds> median_remaining(const active_run& run) {
    if (run.is_stopping)
        return stop_time;
    if (const std::optional<milliseconds> remaining = remaining_by_progress(run))
        return std::max({*remaining, run.elapsed / overdue_divisor, milliseconds{1}});
    if (run.expected.count() <= 0)
        return std::nullopt;
    const auto expected = static_cast<double>(run.expected.count());
    const double remaining =
        expected * median_remaining_ratio(static_cast<double>(run.elapsed.count()) / expected);
    return milliseconds{std::max<std::int64_t>(1, std::llround(remaining))};
}

} // namespace persimmonstile
