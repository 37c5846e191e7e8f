#include "coordination/late_job_patience.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

class late_job_patience_test : public testing::Test {
protected:
    late_job_patience patience_;
    time_point now_{100s};

    // Plans every 10 ms that pass late jobs over.
    void pass_over(milliseconds time, std::size_t others_begun) {
        for (const time_point end = now_ + time; now_ < end; now_ += 10ms)
            patience_.passed_over(others_begun, now_);
    }
};

// Guards against callers that are held although all room goes to others.
TEST_F(late_job_patience_test, ends_when_only_others_get_room) {
    pass_over(100ms, 1);
    EXPECT_FALSE(patience_.is_over(now_));
    pass_over(500ms, 1);
    EXPECT_TRUE(patience_.is_over(now_));
}

// Guards against refusals in a stall, in which nobody gets room and which may end soon.
TEST_F(late_job_patience_test, lasts_while_nobody_gets_room) {
    pass_over(2000ms, 0);
    EXPECT_FALSE(patience_.is_over(now_));
}

// Guards against refusals where late jobs get room now and then.
TEST_F(late_job_patience_test, begins_anew_when_a_late_job_gets_room) {
    pass_over(600ms, 1);
    patience_.served();
    EXPECT_FALSE(patience_.is_over(now_));
    pass_over(100ms, 1);
    EXPECT_FALSE(patience_.is_over(now_));
}

// Guards against a refusal in a calm time by what was seen in a former rush.
TEST_F(late_job_patience_test, forgets_a_rush_that_is_over) {
    pass_over(600ms, 1);
    now_ += 5s;
    patience_.passed_over(1, now_);
    EXPECT_FALSE(patience_.is_over(now_));
}

} // namespace
} // namespace persimmonstile
