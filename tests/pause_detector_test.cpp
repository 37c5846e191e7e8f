#include "coordination/presence/pause_detector.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr time_point start{std::chrono::seconds{100}};
constexpr milliseconds longer = pause_detector::max_turn + milliseconds{1};

// Guards against a warning at each start of a process whose first turn takes long.
TEST(pause_detector, reports_no_pause_before_the_first_turn) {
    pause_detector pauses;
    EXPECT_FALSE(pauses.is_paused(start + std::chrono::hours{1}));
}

// Guards against a pause that is missed, and against one that is reported again after the event loop has
// turned.
TEST(pause_detector, reports_a_pause_until_the_next_turn) {
    pause_detector pauses;
    pauses.turned(start);
    EXPECT_FALSE(pauses.is_paused(start + pause_detector::max_turn));
    EXPECT_TRUE(pauses.is_paused(start + longer));
    pauses.turned(start + longer);
    EXPECT_FALSE(pauses.is_paused(start + longer));
}

} // namespace
} // namespace persimmonstile
