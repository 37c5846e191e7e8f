#include "soak/promise_check.h"

#include <string>

#include <gtest/gtest.h>

namespace persimmonstile::soak {
namespace {

using namespace std::chrono_literals;

constexpr time_point start_time{10s};

// A job of two tasks at a backend server that has room for two.
class promises : public testing::Test {
protected:
    promises() {
        backend_.id = "b";
        backend_.zone = "z";
        backend_.life = 1;
        backend_.capacity = {6000, 1000, 0};
        other_ = backend_;
        other_.id = "c";
        plan_.steps.push_back({});
        plan_.steps[0].task_count = 2;
        plan_.steps[0].task_needs = {3000, 1, 0};
        check_.submitted("job", plan_, 2);
    }

    void start(task_index index, run_number run, const backend_profile& at, time_point now = start_time,
               bool is_late = false) {
        check_.run_event(
            at,
            {order_backend::event::kind::started, {{"job", 0, 0, index}, run}, run_state::running, now, 0},
            is_late);
    }

    void end(task_index index, run_number run, const backend_profile& at, run_state final_state) {
        check_.run_event(at,
                         {order_backend::event::kind::ended,
                          {{"job", 0, 0, index}, run},
                          final_state,
                          start_time,
                          ++last_end_},
                         false);
    }

    // The end of the run was acknowledged and counts.
    void log_job_end(task_index index, run_number run, run_state final_state) {
        check_.run_event(backend_,
                         {order_backend::event::kind::noted,
                          {{"job", 0, 0, index}, run},
                          final_state,
                          start_time,
                          last_end_},
                         false);
    }

    void expect_broken(const std::string& promise) {
        ASSERT_EQ(check_.violations().size(), 1U);
        EXPECT_TRUE(check_.violations()[0].starts_with(promise)) << check_.violations()[0];
    }

    backend_profile backend_;
    backend_profile other_;
    job_plan plan_;
    promise_check check_;
    std::uint64_t last_end_ = 0;
};

TEST_F(promises, a_job_without_faults_breaks_none) {
    check_.accepted("job");
    start(0, 1, backend_);
    start(1, 1, other_);
    end(0, 1, backend_, run_state::done);
    end(1, 1, other_, run_state::failed);
    start(1, 2, backend_);
    end(1, 2, backend_, run_state::done);
    check_.shown("job", job_state::completed, start_time);
    check_.finish(start_time);
    EXPECT_TRUE(check_.violations().empty());
}

TEST_F(promises, a_second_run_beside_the_first_is_seen) {
    start(0, 1, backend_);
    start(0, 2, other_);
    expect_broken("one run");
}

TEST_F(promises, a_run_after_a_success_that_is_acknowledged_later_is_seen) {
    plan_.is_durable = true;
    check_.submitted("job", plan_, 2);
    start(0, 1, backend_);
    end(0, 1, backend_, run_state::done);
    start(0, 2, other_);
    EXPECT_TRUE(check_.violations().empty());
    log_job_end(0, 1, run_state::done);
    expect_broken("one run");
}

TEST_F(promises, a_success_after_the_last_start_breaks_none) {
    plan_.is_durable = true;
    check_.submitted("job", plan_, 2);
    start(0, 1, backend_);
    end(0, 1, backend_, run_state::lapsed);
    start(0, 2, backend_);
    end(0, 2, backend_, run_state::done);
    log_job_end(0, 2, run_state::done);
    EXPECT_TRUE(check_.violations().empty());
}

TEST_F(promises, a_run_beside_one_of_a_replaced_backend_server_is_seen) {
    backend_profile replacement = backend_;
    replacement.id = "b-2";
    start(0, 1, backend_);
    start(0, 2, replacement, start_time + 300ms);
    expect_broken("one run");
    EXPECT_TRUE(check_.violations()[0].ends_with("at b goes on, which began 300 ms before"));
    end(0, 1, backend_, run_state::lapsed);
    end(0, 2, replacement, run_state::done);
    start(0, 3, backend_);
    EXPECT_EQ(check_.violations().size(), 1U);
}

TEST_F(promises, a_run_after_an_acknowledged_success_is_seen) {
    start(0, 1, backend_);
    end(0, 1, backend_, run_state::done);
    log_job_end(0, 1, run_state::done);
    start(0, 2, other_);
    expect_broken("one run");
}

TEST_F(promises, a_run_after_an_unacknowledged_success_is_allowed) {
    start(0, 1, backend_);
    end(0, 1, backend_, run_state::done);
    start(0, 2, other_);
    EXPECT_TRUE(check_.violations().empty());
}

TEST_F(promises, more_attempts_than_allowed_are_seen) {
    for (run_number run = 1; run <= 2; ++run) {
        start(0, run, backend_);
        end(0, run, backend_, run_state::failed);
        log_job_end(0, run, run_state::failed);
    }
    start(0, 3, backend_);
    expect_broken("attempts");
}

// The ends are acknowledged after the start.
TEST_F(promises, more_attempts_than_allowed_are_seen_late) {
    for (const run_number run : {1, 2}) {
        start(0, run, backend_);
        end(0, run, backend_, run_state::failed);
    }
    start(0, 3, backend_);
    log_job_end(0, 1, run_state::failed);
    EXPECT_TRUE(check_.violations().empty());
    log_job_end(0, 2, run_state::failed);
    expect_broken("attempts");
}

TEST_F(promises, a_start_beyond_the_room_is_seen) {
    check_.submitted("other", plan_, 2);
    start(0, 1, backend_);
    start(1, 1, backend_);
    check_.run_event(
        backend_,
        {order_backend::event::kind::started, {{"other", 0, 0, 0}, 1}, run_state::running, start_time, 0},
        true);
    expect_broken("room");
}

TEST_F(promises, a_job_that_nobody_handed_in_is_seen) {
    check_.run_event(
        backend_,
        {order_backend::event::kind::started, {{"alien", 0, 0, 0}, 1}, run_state::running, start_time, 0},
        false);
    expect_broken("unasked");
}

TEST_F(promises, an_answer_before_the_last_task_is_seen) {
    start(0, 1, backend_);
    end(0, 1, backend_, run_state::done);
    check_.shown("job", job_state::completed, start_time);
    expect_broken("whole answer");
}

TEST_F(promises, a_failure_without_cause_is_seen) {
    check_.shown("job", job_state::failed, start_time);
    expect_broken("true answer");
}

TEST_F(promises, a_refused_job_that_has_started_is_seen) {
    check_.refused("job");
    start(0, 1, backend_);
    check_.finish(start_time);
    expect_broken("true refusal");
}

TEST_F(promises, an_accepted_job_without_an_end_is_seen) {
    check_.accepted("job");
    check_.finish(start_time);
    expect_broken("durability");
}

TEST_F(promises, a_start_while_draining_is_seen_only_after_the_bound) {
    check_.drain_acknowledged("b", start_time);
    start(0, 1, backend_, start_time + 1900ms);
    EXPECT_TRUE(check_.violations().empty());
    start(1, 1, backend_, start_time + 2100ms);
    expect_broken("draining");
}

TEST_F(promises, a_fault_within_the_bound_excuses_a_late_start) {
    check_.zone_out("z", start_time);
    check_.fault_begun();
    check_.fault_ended(start_time + 1s);
    start(0, 1, backend_, start_time + 6s);
    EXPECT_TRUE(check_.violations().empty());
}

TEST_F(promises, a_start_in_a_zone_that_is_out_is_seen) {
    check_.zone_out("z", start_time);
    start(0, 1, backend_, start_time + 6s);
    expect_broken("zone out");
}

TEST_F(promises, a_start_of_a_cancelled_job_is_seen) {
    check_.cancelled("job", start_time);
    start(0, 1, backend_, start_time + 4s);
    expect_broken("cancelled");
}

} // namespace
} // namespace persimmonstile::soak
