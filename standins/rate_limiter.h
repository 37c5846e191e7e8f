#pragma once

#include "state/time.h"

#include <algorithm>

namespace persimmonstile {

// Token bucket that holds at most one second's worth of calls.
class rate_limiter {
public:
    explicit rate_limiter(double per_second)
        : per_second_{per_second}
        , tokens_{per_second} {}

    // reserved is the part of the rate that others use up all the time.
    bool admit(time_point now, double reserved = 0) {
        const double earned = std::chrono::duration<double>{now - last_}.count() * (per_second_ - reserved);
        tokens_ = std::clamp(tokens_ + earned, 0.0, per_second_);
        last_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double tokens_;
    time_point last_{};
};

} // namespace persimmonstile
