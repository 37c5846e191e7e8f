#include "coordination/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace persimmonstile {

namespace {

// Weight of the starting value, in samples. Small, because the first run times say more than the average of
// other machines.
constexpr double prior_samples = 2;

// The estimate is an average over about this many of the last samples. With task sizes that spread by a
// factor of e, its standard error is about 12%.
constexpr double averaged_samples = 32;

// Weight of a run time that a silence confirms. A change by a factor of 20 passes the ejection limit of 8
// with the first report.
constexpr double change_weight = 0.8;

// ln 8. A single sample counts as at most 8 times slower or faster than expected.
constexpr double outlier_limit = 2.08;

// Shorter run times are below the resolution of the reports.
constexpr double shortest_seconds = 1e-5;

double log_of(std::chrono::microseconds run_time) {
    const double seconds = std::chrono::duration<double>{run_time}.count();
    return std::log(std::max(seconds, shortest_seconds));
}

} // namespace

void speed_estimate::observe(std::chrono::microseconds run_time, double service_seconds) {
    if (samples_ == 0)
        log_seconds_ = std::log(std::max(service_seconds, shortest_seconds));
    const double weight = 1 / std::min(averaged_samples, samples_ + prior_samples);
    const double difference = std::clamp(log_of(run_time) - log_seconds_, -outlier_limit, outlier_limit);
    log_seconds_ += weight * difference;
    ++samples_;
}

void speed_estimate::observe_change(std::chrono::microseconds run_time) {
    if (samples_ == 0)
        log_seconds_ = log_of(run_time);
    log_seconds_ += change_weight * (log_of(run_time) - log_seconds_);
    ++samples_;
}

double speed_estimate::expected_seconds(double service_seconds) const {
    return samples_ == 0 ? service_seconds : std::exp(log_seconds_);
}

} // namespace persimmonstile
