#pragma once

#include <cstdint>

namespace persimmonstile {

// Robust running average of a positive quantity, a run time in seconds or a ratio of run times. Works on
// logarithms, so that a few very long tasks do not dominate, and limits the weight of each outlier. Several
// outliers in a row on the same side are taken for a change and adopted quickly.
class speed_estimate {
public:
    // Averages over about this many of the last samples. With task sizes that spread by a factor of e, 32
    // samples give a standard error of 12%.
    explicit speed_estimate(std::uint32_t averaged_samples);
    speed_estimate()
        : speed_estimate{32} {}

    // Until the first samples outweigh it, the estimate is drawn to the prior.
    void observe(double value, double prior);
    // Forgets the past except for this value.
    void reset(double value);

    double value_or(double prior) const { return samples_ == 0 ? prior : value_; }
    std::uint32_t samples() const { return samples_; }

private:
    double log_value_ = 0;
    // Kept beside its logarithm, because it is read several times for each sample.
    double value_ = 0;
    std::uint32_t averaged_samples_ = 0;
    std::uint32_t samples_ = 0;
    // Consecutive outliers, counted upwards for high and downwards for low ones.
    std::int32_t outliers_ = 0;
};

} // namespace persimmonstile
