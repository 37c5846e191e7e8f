#pragma once

#include "state/time.h"

#include <cstdint>
#include <random>

namespace persimmonstile {

// Rate limit and backoff of the calls that one process makes to the store.
struct call_rate_limiter_settings {
    // At this rate 200 entries and commands together stay within the store's 2,000 reads/s.
    double calls_per_second = 10;
    // Number of calls that may be made at once after an idle period.
    double burst = 20;
    // Delay after the first failure. It doubles with each further failure up to the maximum.
    milliseconds initial_backoff{50};
    milliseconds max_backoff{2000};
};

// Decides how long a caller waits before its next call: a token bucket limits the rate, and failures add an
// exponential backoff. The backoff has jitter, because otherwise all clients would call a recovered store at
// the same moment. Not thread-safe.
class call_rate_limiter {
public:
    call_rate_limiter(call_rate_limiter_settings settings, std::uint64_t seed);

    // Takes a token for one call and returns how long to wait before making the call.
    boot_clock::duration reserve(time_point now);

    void record_success();
    void record_failure(time_point now);

private:
    call_rate_limiter_settings settings_;
    std::mt19937_64 random_;
    double tokens_;
    time_point refilled_at_{};
    time_point backoff_until_{};
    unsigned consecutive_failures_ = 0;
};

} // namespace persimmonstile
