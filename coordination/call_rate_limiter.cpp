#include "coordination/call_rate_limiter.h"

#include <algorithm>

namespace persimmonstile {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// After this many doublings any realistic initial backoff has reached the maximum.
constexpr unsigned maximum_doublings = 16;

} // namespace

call_rate_limiter::call_rate_limiter(call_rate_limiter_settings settings, std::uint64_t seed)
    : settings_{settings}
    , random_{seed}
    , tokens_{settings.burst} {}

boot_clock::duration call_rate_limiter::reserve(time_point now) {
    const double earned = fractional_seconds{now - refilled_}.count() * settings_.calls_per_second;
    tokens_ = std::min(settings_.burst, tokens_ + std::max(0.0, earned));
    refilled_ = now;
    tokens_ -= 1;
    const fractional_seconds debt{std::max(0.0, -tokens_ / settings_.calls_per_second)};
    const auto backoff = std::max(boot_clock::duration::zero(), not_before_ - now);
    return std::max(backoff, std::chrono::duration_cast<boot_clock::duration>(debt));
}

void call_rate_limiter::record_success() {
    failures_ = 0;
    not_before_ = {};
}

void call_rate_limiter::record_failure(time_point now) {
    const auto doubled = settings_.initial_backoff * (1U << std::min(failures_, maximum_doublings));
    const auto bound = std::min<milliseconds>(doubled, settings_.maximum_backoff);
    ++failures_;
    // At least half of the bound, because a series of small random numbers would otherwise cancel the
    // backoff.
    std::uniform_real_distribution<double> share{0.5, 1.0};
    not_before_ = now + std::chrono::duration_cast<boot_clock::duration>(bound * share(random_));
}

} // namespace persimmonstile
