#include "coordination/admission/capacity_forecast.h"

#include "coordination/admission/timeliness.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace persimmonstile {

namespace {

// With fewer runs, the capacity that they hold says little about what the entry can get.
constexpr std::size_t min_held_runs = 8;

// The capacity that the entry holds is averaged over about this time. It is longer than a run of the shortest
// jobs (60 ms), whose starts and ends make the amount fluctuate.
constexpr double held_average_seconds = 0.3;

// Number of ended runs over which the ratio of measured to expected work is averaged.
constexpr double averaged_runs = 64;

// A wrong refusal costs its caller the job, a wrong admission only time. The job is refused only if it would
// be too late even with a wait this much shorter than predicted. The rate of work is known to about 20%.
constexpr double assumed_wait_fraction = 0.8;

// The arrivals of a second vary by about a tenth, so this much of them is certain to go on.
constexpr double counted_arrival_fraction = 0.9;

// A caller that is refused while the queue does not shrink is told to wait no longer than this. It covers the
// load peaks that callers announce, which last 7 s.
constexpr double max_retry_seconds = 8;

constexpr double never = std::numeric_limits<double>::infinity();

double seconds_until(time_point when, time_point now) {
    return std::chrono::duration<double>{when - now}.count();
}

double drain_seconds(double work, double rate) {
    if (work <= 0)
        return 0;
    return rate > 0 ? work / rate : never;
}

} // namespace

void capacity_forecast::observe_held(double millicores, std::size_t runs, time_point now) {
    const double elapsed = seconds_until(now, observed_at_);
    average_millicores_ +=
        (millicores - average_millicores_) * (1 - std::exp(-elapsed / held_average_seconds));
    held_millicores_ = millicores;
    held_runs_ = runs;
    observed_at_ = now;
}

void capacity_forecast::observe_run(double expected_core_ms, double measured_core_ms) {
    constexpr double weight = 1 - 1 / averaged_runs;
    expected_sum_ = weight * expected_sum_ + expected_core_ms;
    measured_sum_ = weight * measured_sum_ + measured_core_ms;
}

void capacity_forecast::record_arrival(std::uint32_t priority, double core_ms, time_point now) {
    arrivals_[priority].add(core_ms, now);
    all_arrivals_.add(core_ms, now);
}

std::optional<double> capacity_forecast::work_rate() const {
    if (held_runs_ < min_held_runs || measured_sum_ <= 0 || expected_sum_ <= 0)
        return std::nullopt;
    return std::max(held_millicores_, average_millicores_) * expected_sum_ / measured_sum_;
}

std::optional<double> capacity_forecast::arrival_rate(std::uint32_t before, time_point now) const {
    if (!all_arrivals_.per_second(now))
        return std::nullopt;
    double sum = 0;
    for (const auto& [priority, rate] : arrivals_) {
        if (priority < before)
            sum += rate.per_second(now).value_or(0);
    }
    return sum;
}

end_forecast capacity_forecast::predict(const job_target& target, std::uint32_t priority,
                                        const work_ahead& ahead, time_point now) const {
    const std::optional<double> rate = work_rate();
    const std::optional<double> preceding = arrival_rate(priority, now);
    if (!rate || !preceding)
        return {};
    const double chain = std::chrono::duration<double>{target.chain_duration}.count();
    const double in_time_wait =
        assumed_wait_fraction * drain_seconds(ahead.while_in_time, *rate - *preceding);
    if (in_time_wait + longest_task_factor * chain <= seconds_until(target.in_time, now))
        return {predicted_end::useful, milliseconds{0}};
    // Once the job is late, everything that can still end in time takes precedence.
    const double late_rate = *rate - counted_arrival_fraction * *all_arrivals_.per_second(now);
    const double late_wait = assumed_wait_fraction * drain_seconds(ahead.while_late, late_rate);
    const double spare = seconds_until(target.useful_until, now) - chain;
    if (late_wait <= spare)
        return {predicted_end::useful, milliseconds{0}};
    const bool is_shrinking = late_wait < never;
    // Without the arrivals, which the refusals reduce, the queue drains at the full rate.
    const double retry_seconds =
        is_shrinking ? late_wait - spare : drain_seconds(ahead.while_late, *rate) + spare;
    return {
        is_shrinking ? predicted_end::too_late : predicted_end::not_shrinking,
        milliseconds{static_cast<std::int64_t>(1000 * std::clamp(retry_seconds, 0.0, max_retry_seconds))}};
}

} // namespace persimmonstile
