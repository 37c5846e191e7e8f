#include "coordination/backend_health.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Provides a backend_health without results and the time that its tests set.
class backend_health_test : public testing::Test {
protected:
    time_point now_{std::chrono::seconds{100}};
    backend_health health_;
};

// Guards against a backend server that fails every task and uses up the attempts of every job.
TEST_F(backend_health_test, avoids_a_backend_server_that_fails_two_jobs_in_a_row) {
    EXPECT_FALSE(health_.failed("a", now_));
    EXPECT_TRUE(health_.failed("b", now_));
    EXPECT_TRUE(health_.is_avoided(now_));
}

// Guards against avoiding healthy backend servers because of one job that always fails.
TEST_F(backend_health_test, counts_the_tasks_of_one_job_once) {
    for (int i = 0; i < 10; ++i)
        EXPECT_FALSE(health_.failed("a", now_));
    EXPECT_FALSE(health_.is_avoided(now_));
}

// Guards against avoiding a backend server whose failures are interrupted by a success.
TEST_F(backend_health_test, resets_the_failure_count_after_a_success) {
    health_.failed("a", now_);
    health_.succeeded();
    EXPECT_FALSE(health_.failed("b", now_));
}

// Guards against a backend server that is tried too often while it fails, and against one that is avoided too
// long after a short failure.
TEST_F(backend_health_test, doubles_the_pause_while_failures_continue) {
    health_.failed("a", now_);
    health_.failed("b", now_);
    const auto first = health_.avoided_until() - now_;
    now_ = health_.avoided_until();
    EXPECT_FALSE(health_.is_avoided(now_));
    EXPECT_TRUE(health_.failed("c", now_));
    EXPECT_EQ(health_.avoided_until() - now_, 2 * first);
    now_ = health_.avoided_until();
    health_.succeeded();
    health_.failed("d", now_);
    health_.failed("e", now_);
    EXPECT_EQ(health_.avoided_until() - now_, first);
}

} // namespace
} // namespace persimmonstile
