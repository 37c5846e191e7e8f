#include "coordination/store_rate_limiter.h"

#include "coordination/ownership_limits.h"

#include <algorithm>

namespace persimmonstile {

namespace {

constexpr std::uint32_t max_doublings = 8;

std::chrono::nanoseconds doubled(std::chrono::nanoseconds start, std::uint32_t times,
                                 std::chrono::nanoseconds limit) {
    return std::min<std::chrono::nanoseconds>(start * (1LL << std::min(times, max_doublings)), limit);
}

} // namespace

store_rate_limiter::store_rate_limiter(std::uint64_t seed)
    : random_{seed} {}

bool store_rate_limiter::may_call(time_point now) const {
    if (now < not_before_)
        return false;
    if (previous_call_ && now - *previous_call_ < 2 * store_call_interval)
        return false;
    const bool failed_lately = failed_at_ && now - *failed_at_ < store_recovery_time;
    return !failed_lately || !last_call_ || now - *last_call_ >= store_call_interval;
}

void store_rate_limiter::called(time_point now) {
    previous_call_ = last_call_;
    last_call_ = now;
}

void store_rate_limiter::succeeded() {
    failures_ = 0;
    races_ = 0;
}

void store_rate_limiter::failed(time_point now) {
    failed_at_ = now;
    const auto longest = doubled(store_call_interval, ++failures_, store_backoff_limit);
    not_before_ = now + longest / 2 + jitter(longest / 2);
}

void store_rate_limiter::lost_race(time_point now) {
    const auto longest = doubled(race_backoff, races_++, race_backoff_limit);
    not_before_ = now + jitter(longest);
}

std::chrono::nanoseconds store_rate_limiter::jitter(std::chrono::nanoseconds bound) {
    return std::chrono::nanoseconds{static_cast<std::int64_t>(random_() % (bound.count() + 1))};
}

} // namespace persimmonstile
