#pragma once

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Learns the run time of a service's tasks on one backend server. Works on logarithms, so that a few very
// long tasks do not dominate, and limits the weight of each outlier.
class speed_estimate {
public:
    // service_seconds is the typical run time of the service on all backend servers, from which the estimate
    // starts.
    void observe(std::chrono::microseconds run_time, double service_seconds);

    // As observe, without the limit on outliers: for a run time that a long silence has already announced.
    void observe_change(std::chrono::microseconds run_time);

    // Expected run time in seconds.
    double expected_seconds(double service_seconds) const;
    std::uint32_t samples() const { return samples_; }

private:
    double log_seconds_ = 0;
    std::uint32_t samples_ = 0;
};

} // namespace persimmonstile
