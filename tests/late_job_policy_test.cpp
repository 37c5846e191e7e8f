#include "coordination/late_job_policy.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Drives one late_job_policy with simulated plans.
class late_job_policy_test : public testing::Test {
protected:
    late_job_policy patience_;
    time_point now_{100s};

    // Makes a plan every 10 ms that finds no free capacity for late jobs and starts this many runs of other
    // jobs.
    void pass_over(milliseconds time, std::size_t other_starts) {
        for (const time_point end = now_ + time; now_ < end; now_ += 10ms)
            patience_.record_passed_over(other_starts, now_);
    }
};

// Guards against delaying the refusal of late jobs while all free capacity goes to other jobs.
TEST_F(late_job_policy_test, is_over_when_only_other_jobs_start) {
    pass_over(100ms, 1);
    EXPECT_FALSE(patience_.should_refuse(now_));
    pass_over(500ms, 1);
    EXPECT_TRUE(patience_.should_refuse(now_));
}

// Guards against refusals during a stall of the backend servers: no job starts, and the stall may end
// soon.
TEST_F(late_job_policy_test, lasts_while_no_job_starts) {
    pass_over(2000ms, 0);
    EXPECT_FALSE(patience_.should_refuse(now_));
}

// Guards against refusals while late jobs still start from time to time.
TEST_F(late_job_policy_test, restarts_when_a_late_job_starts) {
    pass_over(600ms, 1);
    patience_.record_placement();
    EXPECT_FALSE(patience_.should_refuse(now_));
    pass_over(100ms, 1);
    EXPECT_FALSE(patience_.should_refuse(now_));
}

// Guards against a refusal under normal load that is caused by starts counted in an earlier overload.
TEST_F(late_job_policy_test, resets_after_an_interval_without_plans) {
    pass_over(600ms, 1);
    now_ += 5s;
    patience_.record_passed_over(1, now_);
    EXPECT_FALSE(patience_.should_refuse(now_));
}

} // namespace
} // namespace persimmonstile
