#pragma once

#include "state/time.h"

#include <algorithm>
#include <chrono>

namespace persimmonstile {

// Estimates the timeout of a call, after which the call is repeated, from the mean and deviation of past
// round-trip times, as TCP does (RFC 6298). The timeout doubles after each missing answer.
class round_trip_estimate {
public:
    round_trip_estimate(milliseconds initial_timeout, milliseconds min_timeout, milliseconds max_timeout)
        : min_timeout_{min_timeout}
        , max_timeout_{max_timeout}
        , timeout_{initial_timeout} {}

    milliseconds timeout() const { return std::clamp(timeout_, min_timeout_, max_timeout_); }

    void answered(std::chrono::nanoseconds elapsed) {
        const double sample = std::chrono::duration<double, std::milli>{elapsed}.count();
        if (!has_sample_) {
            mean_ = sample;
            deviation_ = sample / 2;
            has_sample_ = true;
        } else {
            deviation_ += (std::abs(sample - mean_) - deviation_) / 4;
            mean_ += (sample - mean_) / 8;
        }
        timeout_ = std::chrono::ceil<milliseconds>(
            std::chrono::duration<double, std::milli>{mean_ + 4 * deviation_});
    }

    void missing() { timeout_ = std::min(timeout() * 2, max_timeout_); }

private:
    milliseconds min_timeout_;
    milliseconds max_timeout_;
    milliseconds timeout_;
    double mean_ = 0;
    double deviation_ = 0;
    bool has_sample_ = false;
};

} // namespace persimmonstile
