#pragma once

#include "state/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Limits retried tasks to a fraction of the load, so that refusals cannot multiply the messages of an
// overloaded system.
class admission_retry_budget {
public:
    // Every assigned task earns a tenth of a retry.
    void earn(std::uint32_t tasks) { tokens_ = std::min(tokens_ + tasks * retries_per_task, reserve); }

    // Spends up to the given number of retries and returns how many were granted.
    std::uint32_t take(std::uint32_t wanted, time_point now) {
        refill(now);
        const std::uint32_t granted = std::min(wanted, static_cast<std::uint32_t>(tokens_));
        tokens_ -= granted;
        return granted;
    }

    // Latest time at which the next retry becomes available.
    time_point next_available() const {
        const double missing = std::max(0.0, 1 - tokens_);
        const std::chrono::duration<double> wait{missing / retries_per_second};
        return refilled_ + std::chrono::duration_cast<std::chrono::nanoseconds>(wait) +
               std::chrono::microseconds{1};
    }

private:
    static constexpr double retries_per_task = 0.1;
    // Lets single refused tasks under low load be retried without waiting for other tasks.
    static constexpr double retries_per_second = 2;
    // Allows short bursts, such as the tasks of one agent that has just reached its capacity.
    static constexpr double reserve = 20;

    void refill(time_point now) {
        const double elapsed = std::chrono::duration<double>{now - refilled_}.count();
        tokens_ = std::min(tokens_ + std::max(0.0, elapsed) * retries_per_second, reserve);
        refilled_ = std::max(refilled_, now);
    }

    double tokens_ = reserve;
    time_point refilled_;
};

} // namespace persimmonstile
