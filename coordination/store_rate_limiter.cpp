#include "coordination/store_rate_limiter.h"

#include "coordination/ownership_limits.h"

#include <algorithm>

namespace persimmonstile {

namespace {

constexpr std::uint32_t max_doublings = 8;

std::chrono::nanoseconds exponential_backoff(std::chrono::nanoseconds start, std::uint32_t doublings,
                                             std::chrono::nanoseconds limit) {
    return std::min<std::chrono::nanoseconds>(start * (1LL << std::min(doublings, max_doublings)), limit);
}

} // namespace

store_rate_limiter::store_rate_limiter(std::uint64_t seed)
    : random_{seed} {}

bool store_rate_limiter::may_call(time_point now) const {
    if (now < backoff_until_)
        return false;
    if (previous_call_at_ && now - *previous_call_at_ < 2 * min_store_call_interval)
        return false;
    const bool has_failed_recently = last_failure_at_ && now - *last_failure_at_ < store_recovery_time;
    return !has_failed_recently || !last_call_at_ || now - *last_call_at_ >= min_store_call_interval;
}

void store_rate_limiter::record_call(time_point now) {
    previous_call_at_ = last_call_at_;
    last_call_at_ = now;
}

void store_rate_limiter::record_success() {
    consecutive_failures_ = 0;
    consecutive_lost_races_ = 0;
}

void store_rate_limiter::record_failure(time_point now) {
    last_failure_at_ = now;
    const auto max_delay =
        exponential_backoff(min_store_call_interval, ++consecutive_failures_, max_store_backoff);
    backoff_until_ = now + max_delay / 2 + jitter(max_delay / 2);
}

void store_rate_limiter::lost_race(time_point now) {
    const auto max_delay =
        exponential_backoff(initial_race_backoff, consecutive_lost_races_++, max_race_backoff);
    backoff_until_ = now + jitter(max_delay);
}

std::chrono::nanoseconds store_rate_limiter::jitter(std::chrono::nanoseconds max_jitter) {
    return std::chrono::nanoseconds{static_cast<std::int64_t>(random_() % (max_jitter.count() + 1))};
}

} // namespace persimmonstile
