#include "coordination/connection_shedder.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Guards against an overloaded entry that closes all connections at once: its callers would reconnect to the
// other entries and overload them.
TEST(connection_shedder, closes_one_connection_per_interval) {
    connection_shedder shedding;
    time_point now{10s};
    int closed = 0;
    for (int i = 0; i < 1000; ++i) {
        closed += shedding.should_close(true, now) ? 1 : 0;
        now += 1ms;
    }
    EXPECT_EQ(closed, 1000ms / connection_shedder::close_interval);
}

// Guards against closing connections of an entry that is not overloaded.
TEST(connection_shedder, closes_none_without_overload) {
    connection_shedder shedding;
    EXPECT_FALSE(shedding.should_close(false, time_point{10s}));
    EXPECT_TRUE(shedding.should_close(true, time_point{10s}));
}

} // namespace
} // namespace persimmonstile
