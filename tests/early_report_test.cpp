#include "coordination/run_queue/early_report.h"
#include "coordination/run_queue/typical_needs.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr milliseconds interval{100};
const time_point start{std::chrono::seconds{100}};

// Guards against entries that send runs to an agent for a whole interval after it has become full.
TEST(early_report, is_due_when_room_changes) {
    early_report report;
    EXPECT_FALSE(report.due(true, interval));
    report.sent(true, false, start);
    EXPECT_FALSE(report.due(true, interval));
    EXPECT_EQ(report.due(false, interval), start + early_report::min_distance);
    report.sent(false, true, start + milliseconds{20});
    EXPECT_FALSE(report.due(false, interval));
    // The change back is as important, but waits for its turn.
    EXPECT_EQ(report.due(true, interval),
              start + milliseconds{20} + interval * early_report::intervals_per_report);
}

// Guards against messages that take the processor time of a small entry while the room changes all the time.
TEST(early_report, adds_at_most_a_quarter_to_the_messages) {
    early_report report;
    time_point last_sent = start;
    report.sent(true, false, start);
    int messages = 0;
    bool has_room = true;
    const int intervals = 100;
    for (time_point now = start; now < start + interval * intervals; now += milliseconds{1}) {
        has_room = !has_room;
        const auto due = report.due(has_room, interval);
        const bool is_early = now < last_sent + interval;
        if (is_early && !(due && now >= *due))
            continue;
        report.sent(has_room, is_early, now);
        last_sent = now;
        ++messages;
    }
    EXPECT_GT(messages, intervals);
    EXPECT_LE(messages, intervals * 5 / 4);
}

// Guards against a report of room in which no run fits.
TEST(typical_needs, follow_the_latest_runs) {
    typical_needs needs;
    EXPECT_TRUE(needs.fits_in({}));
    needs.add({6400, 64, 0});
    EXPECT_TRUE(needs.fits_in({6400, 64, 0}));
    EXPECT_FALSE(needs.fits_in({6399, 64, 0}));
    EXPECT_FALSE(needs.fits_in({6400, 63, 0}));
    for (int i = 0; i < 16; ++i)
        needs.add({1000, 64, 0});
    EXPECT_TRUE(needs.fits_in({1000, 64, 0}));
    EXPECT_FALSE(needs.fits_in({999, 64, 0}));
}

} // namespace
} // namespace persimmonstile
