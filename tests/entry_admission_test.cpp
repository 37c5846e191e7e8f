#include "state/run_refusal.h"
#include "tests/entry_core_fixture.h"

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// A job of the fixture has an objective of 1.6 x 100 ms + 60 ms, so it is useless after 660 ms.
constexpr milliseconds useful_time{660};
// An estimate that is 40% too low hides an objective that is 1 / 0.6 times as long.
constexpr milliseconds abort_time{1100};

entry_limits limits_with(bool forecasts_admission) {
    entry_limits limits;
    limits.forecasts_admission = forecasts_admission;
    return limits;
}

// Drives an entry that forecasts admission and has one job at one agent.
class entry_admission_test : public entry_core_test {
protected:
    explicit entry_admission_test(bool forecasts_admission = true)
        : entry_core_test{limits_with(forecasts_admission)} {}

    // Submits a job and returns its token. Its runs are in runs_.
    caller_token place(std::uint32_t tasks) {
        prepare();
        connect_agent();
        const caller_token token = submit(job("a", false, tasks));
        runs_ = take_starts();
        EXPECT_EQ(runs_.size(), tasks);
        return token;
    }

    // Reports the run as returned, by an agent without free capacity.
    void return_run(const run_ref& run, run_refusal reason) {
        run_report returned = report_of(run, run_state::refused);
        returned.reason = reason;
        report_full(returned);
    }

    void report_full(const run_report& reported) {
        agent_free_capacity full;
        full.received_starts = received_starts_;
        entry_.received(agent_link, run_reports{{reported}, full}, now_, wall_);
        collect();
    }

    void expect_reply(caller_token token, caller_reply_kind kind) const {
        const auto reply = reply_to(token);
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->kind, kind);
    }

    std::vector<run_ref> runs_;
};

// Guards against a caller that is told "outcome unknown" although its job has certainly not run.
TEST_F(entry_admission_test, refuses_a_job_whose_runs_were_all_returned) {
    const caller_token token = place(2);
    for (const run_ref& run : runs_)
        return_run(run, run_refusal::no_room);
    advance_time(useful_time / 2);
    EXPECT_FALSE(reply_to(token));
    advance_time(useful_time / 2 + 1ms);
    expect_reply(token, caller_reply_kind::refused);
    EXPECT_EQ(reply_to(token)->reason, submit_refusal::overloaded);
    EXPECT_EQ(inputs_of("refused a job whose runs were all returned").count("reason"), 1U);
    EXPECT_EQ(entry_.open_jobs(), 0U);
}

// Guards against a false "not run" while the start of one run is in doubt.
TEST_F(entry_admission_test, does_not_refuse_a_job_with_a_run_in_doubt) {
    const caller_token token = place(2);
    return_run(runs_.front(), run_refusal::no_room);
    advance_time(abort_time + 1ms);
    expect_reply(token, caller_reply_kind::uncertain);
}

// Guards against a false "not run" when the backend server knows the run, or the start order may have been
// carried out before the backend server was lost.
TEST_F(entry_admission_test, does_not_refuse_a_job_after_an_order_that_may_have_been_carried_out) {
    const caller_token token = place(1);
    return_run(runs_.front(), run_refusal::old_run);
    advance_time(abort_time + 1ms);
    expect_reply(token, caller_reply_kind::uncertain);
}

// Guards against a false "not run" when a run has expired at a silent backend server.
TEST_F(entry_admission_test, does_not_refuse_a_job_with_an_expired_run) {
    const caller_token token = place(1);
    report_full(report_of(runs_.front(), run_state::lapsed));
    advance_time(abort_time + 1ms);
    expect_reply(token, caller_reply_kind::uncertain);
}

// Guards against a false "not run" when a reconnected agent does not list a run.
TEST_F(entry_admission_test, does_not_refuse_a_job_whose_run_was_lost) {
    const caller_token token = place(1);
    entry_.received(agent_link, run_inventory{process_, {}, received_starts_}, now_, wall_);
    collect();
    advance_time(abort_time + 1ms);
    expect_reply(token, caller_reply_kind::uncertain);
}

// Guards against runs that hold capacity although their job can no longer end while it is useful.
TEST_F(entry_admission_test, aborts_a_running_job_that_can_no_longer_end_in_time) {
    const caller_token token = place(2);
    for (const run_ref& run : runs_)
        report_full(report_of(run, run_state::running));
    advance_time(abort_time - 1ms);
    EXPECT_FALSE(reply_to(token));
    EXPECT_TRUE(take_messages<run_stop_request>().empty());
    advance_time(2ms);
    expect_reply(token, caller_reply_kind::uncertain);
    const auto stops = take_messages<run_stop_request>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops.front().runs.size(), 2U);
    EXPECT_EQ(entry_.open_jobs(), 0U);
}

// Guards against a durable job that is ended because it is late.
TEST_F(entry_admission_test, keeps_a_durable_job_that_is_late) {
    prepare();
    connect_agent();
    submit(job("a", true));
    serve_store();
    advance_time(10 * useful_time);
    EXPECT_EQ(entry_.open_jobs(), 1U);
}

class entry_without_forecast_test : public entry_admission_test {
protected:
    entry_without_forecast_test()
        : entry_admission_test{false} {}
};

// Guards against a change of behaviour while the setting is off.
TEST_F(entry_without_forecast_test, lets_a_placed_job_go_on_until_its_caller_times_out) {
    const caller_token token = place(1);
    return_run(runs_.front(), run_refusal::no_room);
    advance_time(useful_time + 1ms);
    EXPECT_FALSE(reply_to(token));
    advance_time(2000ms);
    expect_reply(token, caller_reply_kind::uncertain);
}

} // namespace
} // namespace persimmonstile
