#include "coordination/overload_detector.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds interval{20};

class overload_watch_test : public testing::Test {
protected:
    overload_limits limits_;
    overload_detector watch_{limits_};
    time_point now_{100s};

    // Timers fire late by this much for a while.
    void pass(milliseconds time, milliseconds late) {
        for (milliseconds passed{0}; passed < time; passed += interval) {
            now_ += interval;
            watch_.timer_fired(now_ - late, now_);
        }
    }
};

// Guards against a process that turns load away because of a single long piece of work.
TEST_F(overload_watch_test, one_late_timer_is_no_overload) {
    pass(1s, 0ms);
    pass(interval, 500ms);
    pass(1s, 0ms);
    EXPECT_FALSE(watch_.is_overloaded());
    for (int i = 0; i < 20; ++i) {
        pass(limits_.detection_time - interval, limits_.late);
        pass(interval, 0ms);
    }
    EXPECT_FALSE(watch_.is_overloaded());
}

// Guards against a standing queue that is never noticed.
TEST_F(overload_watch_test, a_standing_queue_is_an_overload) {
    pass(1s, 0ms);
    pass(limits_.detection_time + interval, limits_.late);
    EXPECT_TRUE(watch_.is_overloaded());
}

// Guards against a process that calls for load again as soon as its queue is gone, and swings.
TEST_F(overload_watch_test, rests_after_an_overload_and_longer_after_the_next_one) {
    pass(limits_.detection_time + interval, 100ms);
    pass(limits_.min_recovery - interval, 0ms);
    EXPECT_TRUE(watch_.is_overloaded());
    pass(2 * interval, 0ms);
    EXPECT_FALSE(watch_.is_overloaded());
    pass(limits_.detection_time + interval, 100ms);
    pass(limits_.min_recovery + interval, 0ms);
    EXPECT_TRUE(watch_.is_overloaded());
    pass(limits_.min_recovery, 0ms);
    EXPECT_FALSE(watch_.is_overloaded());
}

// Guards against an old overload that makes the next one, hours later, last longer.
TEST_F(overload_watch_test, forgets_an_old_overload) {
    pass(limits_.detection_time + interval, 100ms);
    pass(limits_.min_recovery + interval + limits_.repeat_window, 0ms);
    pass(limits_.detection_time + interval, 100ms);
    pass(limits_.min_recovery + interval, 0ms);
    EXPECT_FALSE(watch_.is_overloaded());
}

} // namespace
} // namespace persimmonstile
