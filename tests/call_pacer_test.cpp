#include "coordination/call_rate_limiter.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint64_t seed = 11;
constexpr time_point start{std::chrono::hours{1}};
constexpr call_rate_limiter_settings settings{.calls_per_second = 10,
                                              .burst = 5,
                                              .initial_backoff = milliseconds{100},
                                              .maximum_backoff = milliseconds{1000}};

// Guards against a loop of calls that exceeds the process's share of the store's rate.
TEST(call_rate_limiter, spreads_calls_beyond_the_burst) {
    call_rate_limiter pacer{settings, seed};
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(pacer.reserve(start), boot_clock::duration::zero());
    EXPECT_EQ(pacer.reserve(start), milliseconds{100});
    EXPECT_EQ(pacer.reserve(start), milliseconds{200});
    EXPECT_EQ(pacer.reserve(start + std::chrono::seconds{10}), boot_clock::duration::zero());
}

// Guards against clients that hammer a store that is down: calls of a caller that retries at once, over 60 s.
TEST(call_rate_limiter, an_outage_causes_no_storm) {
    call_rate_limiter pacer{settings, seed};
    time_point now = start;
    int calls = 0;
    while (now < start + std::chrono::seconds{60}) {
        now += pacer.reserve(now);
        ++calls;
        pacer.record_failure(now);
    }
    // At least 0.5 s apart once the maximum is reached; the doubling before adds a few.
    EXPECT_LE(calls, 125);
    EXPECT_GE(calls, 60);
}

// Guards against a backoff that outlasts the outage, and against equal delays in different processes.
TEST(call_rate_limiter, success_ends_the_backoff_and_seeds_differ) {
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
