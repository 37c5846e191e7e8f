#pragma once

#include "state/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Limits retried tasks to a fraction of the load, so that refusals cannot multiply the messages of an
// overloaded system.
class retry_budget {
public:
    // Adds the retries earned by assigned tasks: a tenth of a retry for each task.
    void earn(std::uint32_t tasks) { tokens_ = std::min(tokens_ + tasks * retries_per_task, max_tokens); }

    // Spends up to the given number of retries and returns how many were granted.
    std::uint32_t take(std::uint32_t wanted, time_point now) {
        refill(now);
        const std::uint32_t granted = std::min(wanted, static_cast<std::uint32_t>(tokens_));
        tokens_ -= granted;
        return granted;
    }

    // Time by which a whole retry is available even if no more tasks are assigned, rounded up.
    time_point next_available() const {
        const double missing = std::max(0.0, 1 - tokens_);
        const std::chrono::duration<double> wait{missing / retries_per_second};
        return refilled_at_ + std::chrono::duration_cast<std::chrono::nanoseconds>(wait) +
               std::chrono::microseconds{1};
    }

private:
    static constexpr double retries_per_task = 0.1;
    // Under low load few tasks earn retries. This rate lets a single refused task be retried soon.
    static constexpr double retries_per_second = 2;
    // Maximum number of saved retries. Allows short bursts, such as the refused tasks of one agent that has
    // just reached its capacity.
    static constexpr double max_tokens = 20;

    void refill(time_point now) {
        const double elapsed = std::chrono::duration<double>{now - refilled_at_}.count();
        tokens_ = std::min(tokens_ + std::max(0.0, elapsed) * retries_per_second, max_tokens);
        refilled_at_ = std::max(refilled_at_, now);
    }

    double tokens_ = max_tokens;
    time_point refilled_at_;
};

} // namespace persimmonstile
