#include "coordination/run_queue/departure_check.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

active_run run_with(std::uint32_t percent, milliseconds elapsed) {
    active_run run;
    run.expected = milliseconds{5000};
    run.percent = percent;
    run.elapsed = elapsed;
    run.elapsed_at_progress = elapsed;
    return run;
}

// Guards against runs that are interrupted by a departure and noticed a second later.
TEST(departure_check, stops_a_run_that_cannot_end_before) {
    EXPECT_TRUE(is_cut_off(run_with(10, milliseconds{700}), milliseconds{2000}));
    EXPECT_TRUE(is_cut_off(run_with(50, milliseconds{1000}), milliseconds{200}));
}

// Guards against a run that is stopped although it may end in time.
TEST(departure_check, leaves_runs_that_may_end_before) {
    EXPECT_FALSE(is_cut_off(run_with(50, milliseconds{1000}), milliseconds{2000}));
    EXPECT_FALSE(is_cut_off(run_with(50, milliseconds{1000}), milliseconds{700}));
    EXPECT_FALSE(is_cut_off(run_with(99, milliseconds{1000}), milliseconds{10}));
}

// Guards against a decision by an expectation alone, which may be off by any factor.
TEST(departure_check, leaves_runs_without_observed_progress) {
    EXPECT_FALSE(is_cut_off(run_with(0, milliseconds{1000}), milliseconds{10}));
    EXPECT_FALSE(is_cut_off(run_with(9, milliseconds{1000}), milliseconds{10}));
    active_run found = run_with(50, milliseconds{1000});
    found.elapsed_at_progress = milliseconds{0};
    EXPECT_FALSE(is_cut_off(found, milliseconds{10}));
}

// Guards against a second stop order for the same run.
TEST(departure_check, leaves_runs_that_are_being_stopped) {
    active_run run = run_with(50, milliseconds{1000});
    run.is_stopping = true;
    EXPECT_FALSE(is_cut_off(run, milliseconds{10}));
}

} // namespace
} // namespace persimmonstile
