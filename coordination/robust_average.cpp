#include "coordination/robust_average.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace persimmonstile {

namespace {

// Weight of the prior, as a number of samples. It is small because the first run times on a machine predict
// its speed better than the average of other machines does.
constexpr std::uint32_t prior_samples = 2;

// ln 4. A sample has at most the effect of one that is 4 times higher or lower than expected.
constexpr double max_log_deviation = 1.386;

// With task sizes that vary by a factor of e, 8% of the samples are high outliers. Four in a row occur by
// chance once in 25,000 samples and then only make the estimate noisier for a while.
constexpr std::int32_t outliers_for_change = 4;

// During a change each sample moves the estimate by up to a factor of 2. Afterwards earlier samples together
// have the weight of a few samples.
constexpr double sample_weight_during_change = 0.5;
constexpr std::uint32_t samples_after_change = 2;

// Smaller values are raised to this before the logarithm is taken. It is below the resolution of the reports.
constexpr double min_value = 1e-6;

double log_of(double value) {
    return std::log(std::max(value, min_value));
}

} // namespace

robust_average::robust_average(std::uint32_t averaged_samples)
    : averaged_samples_{averaged_samples} {}

void robust_average::observe(double value, double prior) {
    if (samples_ == 0)
        log_value_ = log_of(prior);
    const double difference = log_of(value) - log_value_;
    if (std::abs(difference) < max_log_deviation)
        consecutive_outliers_ = 0;
    else if (difference > 0)
        consecutive_outliers_ = std::max(consecutive_outliers_, 0) + 1;
    else
        consecutive_outliers_ = std::min(consecutive_outliers_, 0) - 1;
    const bool is_change = std::abs(consecutive_outliers_) >= outliers_for_change;
    if (is_change)
        samples_ = std::min(samples_, samples_after_change);
    const double normal_weight = 1.0 / std::min(averaged_samples_, samples_ + prior_samples);
    const double weight = is_change ? sample_weight_during_change : normal_weight;
    log_value_ += weight * std::clamp(difference, -max_log_deviation, max_log_deviation);
    value_ = std::exp(log_value_);
    ++samples_;
}

void robust_average::reset(double value) {
    log_value_ = log_of(value);
    value_ = value;
    samples_ = 1;
    consecutive_outliers_ = 0;
}

} // namespace persimmonstile
