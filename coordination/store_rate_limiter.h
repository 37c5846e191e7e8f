#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Limits the rate of an entry's store calls to one per second on average. Two calls may follow each other
// directly only if the store has not failed recently. Failures and lost races cause an exponential backoff
// with jitter.
class store_rate_limiter {
public:
    explicit store_rate_limiter(std::uint64_t seed);

    bool may_call(time_point now) const;
    void record_call(time_point now);
    void record_success();
    // The store did not reply, or its reply was lost.
    void record_failure(time_point now);
    // Another writer changed the key first.
    void lost_race(time_point now);
    // Returns a random delay, uniformly distributed between zero and the bound.
    std::chrono::nanoseconds jitter(std::chrono::nanoseconds max_jitter);

private:
    std::mt19937_64 random_;
    std::optional<time_point> last_call_at_;
    std::optional<time_point> previous_call_at_;
    std::optional<time_point> last_failure_at_;
    time_point backoff_until_{};
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_lost_races_ = 0;
};

} // namespace persimmonstile
