#include "coordination/overload_detector.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds interval{20};

// Drives one overload_detector with simulated timers.
class overload_detector_test : public testing::Test {
protected:
    overload_thresholds limits_;
    overload_detector detector_{limits_};
    time_point now_{100s};

    // Fires a timer every interval for this time, each with this delay.
    void advance_time(milliseconds time, milliseconds late) {
        for (milliseconds passed{0}; passed < time; passed += interval) {
            now_ += interval;
            detector_.timer_fired(now_ - late, now_);
        }
    }
};

// Guards against a process that sheds load because of one long event, or because of a queue of events that
// drains within the detection time.
TEST_F(overload_detector_test, late_timers_below_the_detection_time_are_no_overload) {
    advance_time(1s, 0ms);
    advance_time(interval, 500ms);
    advance_time(1s, 0ms);
    EXPECT_FALSE(detector_.is_overloaded());
    for (int i = 0; i < 20; ++i) {
        advance_time(limits_.detection_time - interval, limits_.late);
        advance_time(interval, 0ms);
    }
    EXPECT_FALSE(detector_.is_overloaded());
}

// Guards against a persistent queue of events that is never detected.
TEST_F(overload_detector_test, late_timers_beyond_the_detection_time_are_an_overload) {
    advance_time(1s, 0ms);
    advance_time(limits_.detection_time + interval, limits_.late);
    EXPECT_TRUE(detector_.is_overloaded());
}

// Guards against oscillation: a process that accepts load again as soon as its queue has drained is
// overloaded again at once.
TEST_F(overload_detector_test, recovery_lasts_longer_after_a_repeated_overload) {
    advance_time(limits_.detection_time + interval, 100ms);
    advance_time(limits_.min_recovery - interval, 0ms);
    EXPECT_TRUE(detector_.is_overloaded());
    advance_time(2 * interval, 0ms);
    EXPECT_FALSE(detector_.is_overloaded());
    advance_time(limits_.detection_time + interval, 100ms);
    advance_time(limits_.min_recovery + interval, 0ms);
    EXPECT_TRUE(detector_.is_overloaded());
    advance_time(limits_.min_recovery, 0ms);
    EXPECT_FALSE(detector_.is_overloaded());
}

// Guards against a longer recovery because of an overload that ended long ago.
TEST_F(overload_detector_test, recovery_is_short_after_the_repeat_window) {
    advance_time(limits_.detection_time + interval, 100ms);
    advance_time(limits_.min_recovery + interval + limits_.repeat_window, 0ms);
    advance_time(limits_.detection_time + interval, 100ms);
    advance_time(limits_.min_recovery + interval, 0ms);
    EXPECT_FALSE(detector_.is_overloaded());
}

} // namespace
} // namespace persimmonstile
