#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Limits the rate of an entry's store calls: at most one per second on average, two in succession only while
// the store works, and a growing random backoff after failures and lost races.
class store_rate_limiter {
public:
    explicit store_rate_limiter(std::uint64_t seed);

    bool may_call(time_point now) const;
    void called(time_point now);
    void succeeded();
    // The store did not reply, or its reply was lost.
    void failed(time_point now);
    // Another writer changed the key first.
    void lost_race(time_point now);
    // Uniformly distributed between zero and the bound.
    std::chrono::nanoseconds jitter(std::chrono::nanoseconds bound);

private:
    std::mt19937_64 random_;
    std::optional<time_point> last_call_;
    std::optional<time_point> previous_call_;
    std::optional<time_point> failed_at_;
    time_point not_before_{};
    std::uint32_t failures_ = 0;
    std::uint32_t races_ = 0;
};

} // namespace persimmonstile
