#pragma once

#include <cstdint>

namespace persimmonstile {

// Robust moving average of a positive quantity: a run time in seconds or a ratio of run times. It averages
// logarithms, so that a few very long tasks do not dominate, and limits the weight of each outlier. Several
// consecutive outliers on the same side count as a change, to which the estimate adapts quickly.
class robust_average {
public:
    // Averages over about the last averaged_samples samples. With task sizes that vary by a factor of e, 32
    // samples give a standard error of 12%.
    explicit robust_average(std::uint32_t averaged_samples);
    robust_average()
        : robust_average{32} {}

    // Adds a sample. The prior influences the estimate until the first samples outweigh it.
    void observe(double value, double prior);
    // Replaces all samples by this value.
    void reset(double value);

    double value_or(double prior) const { return samples_ == 0 ? prior : value_; }
    std::uint32_t samples() const { return samples_; }

private:
    double log_value_ = 0;
    // Cached exponential of log_value_, because it is read several times for each sample.
    double value_ = 0;
    std::uint32_t averaged_samples_ = 0;
    std::uint32_t samples_ = 0;
    // Number of consecutive outliers: positive for high ones, negative for low ones.
    std::int32_t consecutive_outliers_ = 0;
};

} // namespace persimmonstile
