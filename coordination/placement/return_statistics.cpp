#include "coordination/placement/return_statistics.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Weight that past runs keep with each new run: about the last 300 runs count.
constexpr double retained_weight = 0.9967;

// Both sums include this prior, which stands for half of the shortages leading to a return.
constexpr double prior_shortages = 4;
constexpr double prior_returns = 2;

// Bounds of returns per predicted shortage. They limit the ratio while few runs were observed.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 4;

// The queue timeout of an agent and a round trip.
constexpr double default_return_seconds = 0.035;

} // namespace

void return_statistics::record_start(double shortage_probability) {
    predicted_shortages_ = retained_weight * predicted_shortages_ + shortage_probability;
    returns_ *= retained_weight;
}

void return_statistics::record_return(std::chrono::nanoseconds since_sent) {
    returns_ += 1;
    delay_.observe(std::chrono::duration<double>{since_sent}.count(), default_return_seconds);
}

double return_statistics::return_probability(double shortage_probability) const {
    const double ratio = std::clamp((returns_ + prior_returns) / (predicted_shortages_ + prior_shortages),
                                    min_ratio, max_ratio);
    return std::min(1.0, ratio * shortage_probability);
}

double return_statistics::return_seconds() const {
    return delay_.value_or(default_return_seconds);
}

} // namespace persimmonstile
