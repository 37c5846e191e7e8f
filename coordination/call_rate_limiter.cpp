#include "coordination/call_rate_limiter.h"

#include <algorithm>

namespace persimmonstile {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// After this many doublings any realistic initial backoff has reached the maximum.
constexpr unsigned max_doublings = 16;

} // namespace

call_rate_limiter::call_rate_limiter(call_rate_limiter_settings settings, std::uint64_t seed)
    : settings_{settings}
    , random_{seed}
    , tokens_{settings.burst} {}

boot_clock::duration call_rate_limiter::reserve(time_point now) {
    const double refilled_tokens =
        fractional_seconds{now - refilled_at_}.count() * settings_.calls_per_second;
    tokens_ = std::min(settings_.burst, tokens_ + std::max(0.0, refilled_tokens));
    refilled_at_ = now;
    tokens_ -= 1;
    const fractional_seconds rate_limit_delay{std::max(0.0, -tokens_ / settings_.calls_per_second)};
    const auto backoff = std::max(boot_clock::duration::zero(), backoff_until_ - now);
    return std::max(backoff, std::chrono::duration_cast<boot_clock::duration>(rate_limit_delay));
}

void call_rate_limiter::record_success() {
    consecutive_failures_ = 0;
    backoff_until_ = {};
}

void call_rate_limiter::record_failure(time_point now) {
    const auto uncapped_backoff =
        settings_.initial_backoff * (1U << std::min(consecutive_failures_, max_doublings));
    const auto backoff_limit = std::min<milliseconds>(uncapped_backoff, settings_.max_backoff);
    ++consecutive_failures_;
    // At least half of the bound, because a series of small random numbers would otherwise cancel the
    // backoff.
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    backoff_until_ = now + std::chrono::duration_cast<boot_clock::duration>(backoff_limit * jitter(random_));
}

} // namespace persimmonstile
