#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Estimates a backend server's clock from the readings in its answers and announcements. Readings take time
// to arrive and clock rates differ by up to 2%, so the estimate is accurate to a few milliseconds while
// readings keep arriving.
class backend_clock {
public:
    void observe(std::int64_t reading_ms, time_point now) {
        reading_ms_ = reading_ms;
        read_at_ = now;
        is_known_ = true;
    }

    bool is_known() const { return is_known_; }

    // Time on the backend server's clock in milliseconds; 0 while it is unknown.
    std::int64_t at(time_point now) const {
        if (!is_known_)
            return 0;
        return reading_ms_ + std::chrono::duration_cast<milliseconds>(now - read_at_).count();
    }

private:
    std::int64_t reading_ms_ = 0;
    time_point read_at_{};
    bool is_known_ = false;
};

} // namespace persimmonstile
