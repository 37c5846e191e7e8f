#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Decides when one entry may call the store: at most one call a second on average, a pair of calls only
// while the store works, with a growing random delay after failures and lost races.
class store_pacer {
public:
    explicit store_pacer(std::uint64_t seed);

    bool may_call(time_point now) const;
    void called(time_point now);
    void succeeded();
    // The store did not answer, or its answer was lost.
    void failed(time_point now);
    // Another writer was faster.
    void lost_race(time_point now);
    // Uniform between zero and the bound.
    std::chrono::nanoseconds jitter(std::chrono::nanoseconds bound);

private:
    std::mt19937_64 random_;
    std::optional<time_point> last_call_;
    std::optional<time_point> call_before_;
    std::optional<time_point> failed_at_;
    time_point not_before_{};
    std::uint32_t failures_ = 0;
    std::uint32_t races_ = 0;
};

} // namespace persimmonstile
