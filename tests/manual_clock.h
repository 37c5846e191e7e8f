#pragma once

#include "state/clock_source.h"

namespace persimmonstile {

// Provides a clock that advances only when a test calls advance().
class manual_clock : public clock_source {
public:
    time_point now() const override { return now_; }
    wall_time wall_now() const override { return wall_; }

    void advance(boot_clock::duration time) {
        now_ += time;
        wall_ += std::chrono::duration_cast<wall_time::duration>(time);
    }

private:
    time_point now_{std::chrono::seconds{1000}};
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
};

} // namespace persimmonstile
