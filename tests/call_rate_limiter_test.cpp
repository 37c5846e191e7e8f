#include "coordination/call_rate_limiter.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint64_t seed = 11;
constexpr time_point start{std::chrono::hours{1}};
constexpr call_rate_limiter_settings settings{.calls_per_second = 10,
                                              .burst = 5,
                                              .initial_backoff = milliseconds{100},
                                              .max_backoff = milliseconds{1000}};

// Guards against a loop of calls that exceeds this process's share of the call rate of the store.
TEST(call_rate_limiter, spreads_calls_beyond_the_burst) {
    call_rate_limiter limiter{settings, seed};
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(limiter.reserve(start), boot_clock::duration::zero());
    EXPECT_EQ(limiter.reserve(start), milliseconds{100});
    EXPECT_EQ(limiter.reserve(start), milliseconds{200});
    EXPECT_EQ(limiter.reserve(start + std::chrono::seconds{10}), boot_clock::duration::zero());
}

// Guards against clients that overload a store during its outage. The caller retries without a delay of its
// own for 60 s.
TEST(call_rate_limiter, backoff_limits_the_call_rate_during_an_outage) {
    call_rate_limiter limiter{settings, seed};
    time_point now = start;
    int calls = 0;
    while (now < start + std::chrono::seconds{60}) {
        now += limiter.reserve(now);
        ++calls;
        limiter.record_failure(now);
    }
    // Calls are at least 0.5 s apart once the backoff has reached its maximum; the shorter backoffs before
    // that add a few calls.
    EXPECT_LE(calls, 125);
    EXPECT_GE(calls, 60);
}

// Guards against a backoff that continues after the outage, and against processes that retry at the same
// moment because their delays are equal.
TEST(call_rate_limiter, success_resets_the_backoff_and_jitter_depends_on_the_seed) {
    call_rate_limiter first{settings, seed};
    call_rate_limiter second{settings, seed + 1};
    first.record_failure(start);
    second.record_failure(start);
    EXPECT_NE(first.reserve(start), second.reserve(start));
    first.record_success();
    EXPECT_EQ(first.reserve(start), boot_clock::duration::zero());
}

} // namespace
} // namespace persimmonstile
