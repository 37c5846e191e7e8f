#pragma once

#include "state/time.h"

#include <chrono>
#include <cmath>
#include <optional>

namespace persimmonstile {

// Amount per second of a series of events, averaged over about the last second.
class decayed_rate {
public:
    void add(double amount, time_point now) {
        sum_ = decayed(now) + amount;
        updated_ = now;
        if (!begin_)
            begin_ = now;
    }

    // Amount per second. Empty if the observed time is too short.
    std::optional<double> per_second(time_point now) const {
        if (!begin_ || now - *begin_ < min_observed_time)
            return std::nullopt;
        // Corrects for the part of the average that lies before the first event.
        const double covered = 1 - std::exp(-seconds(now - *begin_) / average_seconds);
        return decayed(now) / (average_seconds * covered);
    }

private:
    // Long enough for the rate of a few dozen events per second, and shorter than a load peak of 7 s.
    static constexpr double average_seconds = 1;
    static constexpr milliseconds min_observed_time{300};

    static double seconds(boot_clock::duration time) { return std::chrono::duration<double>{time}.count(); }
    double decayed(time_point now) const {
        return sum_ * std::exp(-seconds(now - updated_) / average_seconds);
    }

    double sum_ = 0;
    time_point updated_{};
    std::optional<time_point> begin_;
};

} // namespace persimmonstile
