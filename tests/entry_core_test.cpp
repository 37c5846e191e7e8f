#include "coordination/store_keys.h"
#include "entry_core_fixture.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr milliseconds contact_lease = caller_contact_lease(default_caller_resend_delay);

// Guards against store writes for a job that is not durable (recorded in the store before it is accepted),
// and against an answer before all its tasks have ended.
TEST_F(entry_core_test, answers_a_job_at_its_end_without_writing_to_the_store) {
    prepare();
    connect_agent();
    store_requests_.clear();
    const caller_token token = submit(job("a", false));
    const std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 2U);
    report(report_of(runs[0], run_state::done));
    EXPECT_FALSE(reply_to(token));
    report(report_of(runs[1], run_state::done));
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->state, job_state::completed);
    const bool has_written =
        std::any_of(store_requests_.begin(), store_requests_.end(), [](const store_request& request) {
            return std::holds_alternative<store_write>(request.call);
        });
    EXPECT_FALSE(has_written);
}

// Guards against a second run of a resubmitted job, and against an answer to a resubmission that lacks the
// state of the job.
TEST_F(entry_core_test, does_not_run_a_resubmitted_job_twice) {
    prepare();
    connect_agent();
    const caller_token first = submit(job("a", false, 1));
    const caller_token second = submit(job("a", false, 1));
    const std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 1U);
    report(report_of(runs[0], run_state::done));
    EXPECT_EQ(reply_to(first)->state, job_state::completed);
    EXPECT_EQ(reply_to(second)->state, job_state::completed);
    const caller_token third = submit(job("a", false, 1));
    ASSERT_TRUE(reply_to(third));
    EXPECT_EQ(reply_to(third)->kind, caller_reply_kind::state);
    EXPECT_EQ(reply_to(third)->state, job_state::completed);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against runs that continue after every caller of their job has disconnected, and against stopping
// them while one caller still waits.
TEST_F(entry_core_test, stops_runs_after_the_last_caller_leaves) {
    prepare();
    connect_agent();
    const caller_token first = submit(job("a", false));
    const caller_token second = submit(job("a", false));
    take_starts();
    entry_.caller_left(first, now_);
    collect();
    EXPECT_TRUE(take_messages<run_stop_request>().empty());
    entry_.caller_left(second, now_);
    collect();
    const std::vector<run_stop_request> stops = take_messages<run_stop_request>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runs.size(), 2U);
}

// Guards against keeping a caller until its own deadline when its job cannot be served. There is no backend
// server here, and after 570 ms the job can no longer end within three times its objective of 220 ms.
TEST_F(entry_core_test, refuses_an_unplaced_job_that_can_no_longer_end_in_time) {
    prepare();
    const caller_token token = submit(job("a", false));
    advance_time(milliseconds{550});
    EXPECT_FALSE(reply_to(token));
    advance_time(milliseconds{20});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::refused);
    EXPECT_EQ(reply_to(token)->reason, submit_refusal::overloaded);
    EXPECT_GT(reply_to(token)->retry_after.count(), 0);
    connect_agent();
    advance_time(milliseconds{20});
    EXPECT_TRUE(take_starts().empty());
}

// Guards against refusing a job that may have run. The connection to the agent of its only task is lost, so
// the outcome is uncertain.
TEST_F(entry_core_test, does_not_refuse_a_placed_job) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", false, 1));
    ASSERT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    for (int i = 0; i < 200; ++i)
        advance_time(milliseconds{10});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::uncertain);
}

// Guards against a job that waits longer than its caller does. The caller's deadline of 300 ms is shorter
// than three times the objective.
TEST_F(entry_core_test, refuses_a_waiting_job_before_its_caller_times_out) {
    prepare();
    job_submission request = job("a", false);
    request.answer_by = now_ + milliseconds{300};
    const caller_token token = submit(request);
    advance_time(milliseconds{200});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::refused);
}

// Guards against runs that continue after the caller's deadline, and against an answer which says that a
// started job has not run.
TEST_F(entry_core_test, stops_a_job_when_its_caller_times_out) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", false));
    take_starts();
    advance_time(milliseconds{2000});
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::uncertain);
    EXPECT_EQ(take_messages<run_stop_request>().size(), 1U);
}

// Guards against a late job whose log line does not explain the delay: the line shows the time until
// placement, the runs and the failures.
TEST_F(entry_core_test, logs_a_summary_of_a_job_that_ends_late) {
    prepare();
    const caller_token token = submit(job("a", false, 1));
    advance_time(milliseconds{80});
    connect_agent();
    std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 1U);
    advance_time(milliseconds{100});
    report(report_of(runs[0], run_state::failed));
    runs = take_starts();
    ASSERT_EQ(runs.size(), 1U);
    advance_time(milliseconds{100});
    report(report_of(runs[0], run_state::done));
    ASSERT_TRUE(reply_to(token));
    EXPECT_TRUE(inputs_of("job ended").empty());
    auto inputs = inputs_of("job ended late");
    EXPECT_EQ(inputs["placed_us"], decision::value{std::int64_t{81000}});
    EXPECT_EQ(inputs["total_us"], decision::value{std::int64_t{281000}});
    EXPECT_EQ(inputs["runs"], decision::value{std::int64_t{2}});
    EXPECT_EQ(inputs["failures"], decision::value{std::int64_t{1}});
    EXPECT_EQ(inputs["done"], decision::value{std::int64_t{1}});
}

// Guards against a refusal whose log line does not show that the job was never placed.
TEST_F(entry_core_test, logs_a_summary_of_a_refused_job) {
    prepare();
    submit(job("a", false));
    advance_time(milliseconds{570});
    auto inputs = inputs_of("refused a job that found no room");
    EXPECT_EQ(inputs["reason"], decision::value{std::string{"cannot end in time"}});
    EXPECT_EQ(inputs["total_us"], decision::value{std::int64_t{570000}});
    EXPECT_EQ(inputs["tasks"], decision::value{std::int64_t{2}});
    EXPECT_EQ(inputs["runs"], decision::value{std::int64_t{0}});
    EXPECT_FALSE(inputs.contains("placed_us"));
}

// Guards against a job that fails because of one faulty backend server, and against a failing task that is
// retried without limit.
TEST_F(entry_core_test, retries_a_failed_task_and_fails_the_job_after_its_attempts) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", false, 1));
    const std::vector<run_ref> first = take_starts();
    report(report_of(first[0], run_state::failed));
    EXPECT_FALSE(reply_to(token));
    const std::vector<run_ref> second = take_starts();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_GT(second[0].run, first[0].run);
    report(report_of(second[0], run_state::failed));
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->state, job_state::failed);
}

// Guards against accepting a durable job, or starting its tasks, before the store has recorded it.
TEST_F(entry_core_test, accepts_a_durable_job_after_the_store_records_it) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", true));
    EXPECT_FALSE(reply_to(token));
    EXPECT_TRUE(take_starts().empty());
    serve_store();
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_EQ(take_starts().size(), 2U);
    EXPECT_TRUE(store_.items().contains(job_key("a")));
}

// Guards against two entries that run the same durable job.
TEST_F(entry_core_test, does_not_run_a_durable_job_of_another_entry) {
    prepare();
    connect_agent();
    job_status status;
    status.owner = {"other", 7};
    store_.put(job_key("a"), status);
    const caller_token token = submit(job("a", true));
    serve_store();
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against refusing a durable job whose write was not acknowledged: the store may still apply the
// write, so the outcome is uncertain.
TEST_F(entry_core_test, does_not_refuse_a_durable_job_after_an_unanswered_write) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", true));
    for (int i = 0; i < 40; ++i) {
        const std::vector<store_request> calls = std::exchange(store_requests_, {});
        for (const store_request& request : calls) {
            entry_.store_replied(request.id, store_failure{"no answer", true}, now_, wall_);
            collect();
        }
        advance_time(milliseconds{60});
    }
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::uncertain);
    EXPECT_TRUE(take_starts().empty());
}

// Guards against callers that wait until their deadline when the store refuses every write.
TEST_F(entry_core_test, refuses_a_durable_job_when_the_store_refuses_every_write) {
    prepare();
    connect_agent();
    const caller_token token = submit(job("a", true));
    for (int i = 0; i < 20 && !reply_to(token); ++i) {
        const std::vector<store_request> calls = std::exchange(store_requests_, {});
        for (const store_request& request : calls) {
            entry_.store_replied(request.id, store_failure{"refused", false}, now_, wall_);
            collect();
        }
        advance_time(milliseconds{50});
    }
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::refused);
    EXPECT_EQ(reply_to(token)->reason, submit_refusal::store_unavailable);
}

// Guards against a durable job that is reported as completed, or whose ends are acknowledged to the agent,
// before the store has recorded its end.
TEST_F(entry_core_test, reports_the_end_of_a_durable_job_after_it_is_recorded) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    const std::vector<run_ref> runs = take_starts();
    run_report done = report_of(runs[0], run_state::done);
    done.end_number = 4;
    done.backend_life = 1000;
    done.awaits_record = true;
    report(done);
    entry_.query_state(77, "a", now_ + milliseconds{1000}, now_);
    collect();
    EXPECT_FALSE(reply_to(77));
    EXPECT_TRUE(take_messages<recorded_run_ends>().empty());
    serve_store();
    ASSERT_TRUE(reply_to(77));
    EXPECT_EQ(reply_to(77)->state, job_state::completed);
    const std::vector<recorded_run_ends> recorded = take_messages<recorded_run_ends>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].end_numbers, std::vector<std::uint64_t>{4});
}

// Guards against a resubmission that is told the end of its job before the store has recorded it. If the
// entry stops then, the tasks run again. Found by the histories in which callers ask at any time, seed 335.
TEST_F(entry_core_test, tells_a_resubmission_no_end_that_is_not_recorded) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    report(report_of(take_starts().at(0), run_state::done));
    const caller_token resubmitted = submit(job("a", true, 1));
    ASSERT_TRUE(reply_to(resubmitted));
    EXPECT_EQ(reply_to(resubmitted)->kind, caller_reply_kind::accepted);
    EXPECT_FALSE(is_final(reply_to(resubmitted)->state));
}

// Guards against ends that are recorded only when a long job ends. If all processes were lost before that,
// the tasks would run a second time.
TEST_F(entry_core_test, records_the_progress_of_a_long_job) {
    prepare();
    connect_agent();
    submit(job("a", true, 2));
    serve_store();
    const std::vector<run_ref> runs = take_starts();
    run_report done = report_of(runs[0], run_state::done);
    done.end_number = 1;
    done.backend_life = 1000;
    done.awaits_record = true;
    report(done);
    advance_time(milliseconds{1100});
    serve_store();
    EXPECT_EQ(take_messages<recorded_run_ends>().size(), 1U);
    const auto* record = std::get_if<open_job>(&store_.items().at(open_job_key(entry_.session(), "a")).value);
    ASSERT_NE(record, nullptr);
    ASSERT_EQ(record->progress.size(), 1U);
    EXPECT_TRUE(record->progress[0].is_done);
}

// Guards against a task that runs twice: an inventory that the agent sent before it received the start order
// does not list the run, which must not count as lost.
TEST_F(entry_core_test, ignores_an_inventory_sent_before_a_start_order_arrived) {
    prepare();
    connect_agent();
    submit(job("a", false, 1));
    EXPECT_EQ(take_starts().size(), 1U);
    entry_.received(agent_link, run_inventory{process_, {}, 0}, now_, wall_);
    advance_time(milliseconds{30});
    EXPECT_TRUE(take_starts().empty());
    // An inventory sent after the order arrived shows that the run never started.
    entry_.received(agent_link, run_inventory{process_, {}, 1}, now_, wall_);
    advance_time(milliseconds{30});
    EXPECT_EQ(take_starts().size(), 1U);
}

// Guards against a claimed run that is treated as lost, because the agent sent its inventory before it
// received the claim.
TEST_F(entry_core_test, keeps_a_claimed_run_that_an_older_inventory_lacks) {
    prepare();
    connect_agent();
    submit(job("a", false, 1));
    const std::vector<run_ref> runs = take_starts();
    entry_.link_closed(agent_link);
    const link_number link = 12;
    entry_.link_opened(link, false, now_);
    agent_profile profile;
    profile.agent = {"agent", 2};
    profile.accepts_runs = true;
    profile.backend.id = "backend-agent";
    profile.backend.life = 1000;
    profile.backend.service = "service";
    profile.backend.capacity = {10000, 4096, 0};
    profile.reported_capacity.free = profile.backend.capacity;
    entry_.received(link, profile, now_, wall_);
    entry_.received(link, run_inventory{{}, {report_of(runs[0], run_state::running)}, 0}, now_, wall_);
    entry_.received(link, run_inventory{process_, {}, 0}, now_, wall_);
    advance_time(milliseconds{30});
    EXPECT_EQ(take_messages<run_claim>(link).size(), 1U);
    EXPECT_TRUE(take_starts(link).empty());
    report(report_of(runs[0], run_state::done), link);
    EXPECT_EQ(replies_.size(), 1U);
}

// Guards against a found run that works on beside the newer run of its task.
class replaced_run_test : public entry_core_test {
protected:
    static constexpr link_number other_link = 12;

    // Run 1 counts as lapsed, so run 2 starts at the other agent. Then the first agent finds run 1.
    void find_replaced_run(run_state state = run_state::running) {
        prepare();
        connect_agent();
        submit(job("a", true, 1));
        serve_store();
        const std::vector<run_ref> first = take_starts();
        ASSERT_EQ(first.size(), 1U);
        replaced_ = first[0];
        connect_agent(other_link, "other");
        report(report_of(replaced_, run_state::lapsed));
        advance_time(milliseconds{30});
        const std::vector<run_ref> second = take_starts(other_link);
        ASSERT_EQ(second.size(), 1U);
        newest_ = second[0];
        offer(replaced_, state);
    }

    void offer(const run_ref& run, run_state state) {
        run_report found = report_of(run, state);
        if (is_final(state)) {
            found.end_number = 1;
            found.backend_life = 1000;
            found.awaits_record = true;
        }
        entry_.received(agent_link, run_inventory{{}, {found}, 0}, now_, wall_);
        collect();
    }

    void expect_acknowledgement() {
        advance_time(entry_limits{}.progress_delay);
        serve_store();
        const std::vector<recorded_run_ends> recorded = take_messages<recorded_run_ends>();
        ASSERT_EQ(recorded.size(), 1U);
        EXPECT_EQ(recorded[0].end_numbers, std::vector<std::uint64_t>{1});
    }

    run_ref replaced_;
    run_ref newest_;
};

TEST_F(replaced_run_test, is_claimed_and_stopped) {
    find_replaced_run();
    EXPECT_EQ(take_messages<run_claim>().size(), 1U);
    const std::vector<run_stop_request> stops = take_messages<run_stop_request>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runs, std::vector<run_ref>{replaced_});
    EXPECT_EQ(stops[0].owner, entry_.session());
    run_report stopped = report_of(replaced_, run_state::stopped);
    stopped.end_number = 1;
    stopped.backend_life = 1000;
    stopped.awaits_record = true;
    report(stopped);
    EXPECT_TRUE(take_starts().empty());
    EXPECT_TRUE(take_starts(other_link).empty());
    expect_acknowledgement();
}

TEST_F(replaced_run_test, that_has_ended_is_acknowledged_and_not_stopped) {
    find_replaced_run(run_state::done);
    EXPECT_TRUE(take_messages<run_stop_request>().empty());
    expect_acknowledgement();
}

// Guards against stopping the only run of a task.
TEST_F(replaced_run_test, is_not_the_newest_run_of_its_task) {
    find_replaced_run();
    take_messages<run_stop_request>();
    entry_.received(other_link, run_inventory{{}, {report_of(newest_, run_state::running)}, 0}, now_, wall_);
    collect();
    EXPECT_EQ(take_messages<run_claim>(other_link).size(), 1U);
    EXPECT_TRUE(take_messages<run_stop_request>(other_link).empty());
}

// Guards against two runs of a best-effort task: a restarted agent finds the run of a lost entry, and the
// entry to which the caller has sent the job takes it for its own run of that number at another agent. Found
// by the third review, case 13.
TEST_F(entry_core_test, stops_a_found_run_with_the_number_of_its_run_at_another_agent) {
    constexpr link_number other_link = 12;
    prepare();
    connect_agent();
    submit(job("a", false, 1));
    const std::vector<run_ref> own = take_starts();
    ASSERT_EQ(own.size(), 1U);
    introduce_agent(other_link, "other", 1);
    entry_.received(other_link, run_inventory{{}, {report_of(own[0], run_state::running)}, 0}, now_, wall_);
    collect();
    const std::vector<run_stop_request> stops = take_messages<run_stop_request>(other_link);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runs, own);
    EXPECT_TRUE(take_messages<run_stop_request>().empty());
    report(report_of(own[0], run_state::stopped), other_link);
    EXPECT_TRUE(take_starts().empty());
    report(report_of(own[0], run_state::done));
    EXPECT_EQ(replies_.size(), 1U);
}

// Guards against a run that goes on while its caller sends the job to another entry: the stop was lost with
// the connection to the agent.
TEST_F(entry_core_test, stops_a_run_whose_job_was_dropped_while_its_agent_was_away) {
    prepare();
    connect_agent();
    const caller_token caller = submit(job("a", false, 1));
    const std::vector<run_ref> runs = take_starts();
    entry_.link_closed(agent_link);
    entry_.caller_left(caller, now_);
    collect();
    constexpr link_number link = 12;
    connect_agent(link);
    entry_.received(link, run_inventory{process_, {report_of(runs[0], run_state::running)}, 0}, now_, wall_);
    collect();
    const std::vector<run_stop_request> stops = take_messages<run_stop_request>(link);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runs, runs);
}

// Guards against an end that is acknowledged but not recorded, and so lost with the entry: it was reported at
// the moment at which the record was written.
TEST_F(entry_core_test, acknowledges_only_the_ends_that_the_record_contains) {
    prepare();
    connect_agent();
    submit(job("a", true, 3));
    serve_store();
    const std::vector<run_ref> runs = take_starts();
    ASSERT_EQ(runs.size(), 3U);
    const auto report_done = [&](std::size_t index) {
        run_report done = report_of(runs[index], run_state::done);
        done.end_number = index + 1;
        done.backend_life = 1000;
        done.awaits_record = true;
        report(done);
    };
    report_done(0);
    advance_time(entry_limits{}.progress_delay);
    report_done(1);
    serve_store();
    const std::vector<recorded_run_ends> recorded = take_messages<recorded_run_ends>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].end_numbers, std::vector<std::uint64_t>{1});
}

// Guards against an end that the owner of a job never gets, and that holds up all later ends of its backend
// server: an entry to which the job was resubmitted has claimed the run, and then does not accept the job.
// Found by the histories with series of faults, seed 689.
TEST_F(entry_core_test, claims_no_run_of_a_job_that_it_has_not_accepted) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    run_report done = report_of({{"a", 0, 0, 0}, 1}, run_state::done);
    done.end_number = 1;
    done.backend_life = 1000;
    done.awaits_record = true;
    entry_.received(agent_link, run_inventory{{}, {done}, 0}, now_, wall_);
    collect();
    EXPECT_TRUE(take_messages<run_claim>().empty());
    serve_store();
    EXPECT_EQ(take_starts().size(), 1U);
}

// A durable job is cancelled while the agent of its run is away, so no stop is sent.
class cancelled_run_test : public entry_core_test {
protected:
    static constexpr link_number new_link = 12;

    run_ref run_;

    static bool is_end_of_job(const store_call& call) {
        const auto* write = std::get_if<store_write>(&call);
        return write != nullptr && std::any_of(write->puts.begin(), write->puts.end(),
                                               [](const store_put& put) { return put.key == job_key("a"); });
    }

    void cancel_while_agent_is_away(bool is_end_recorded) {
        prepare();
        connect_agent();
        submit(job("a", true, 1));
        serve_store();
        const std::vector<run_ref> runs = take_starts();
        ASSERT_EQ(runs.size(), 1U);
        run_ = runs[0];
        entry_.link_closed(agent_link);
        entry_.cancel(++last_token_, "a", now_ + milliseconds{2000}, now_, wall_);
        serve_store([&](const store_call& call) { return !is_end_recorded && is_end_of_job(call); });
        ASSERT_EQ(entry_.open_jobs(), is_end_recorded ? 0U : 1U);
        introduce_agent(new_link, "agent", 1);
    }

    void list_run(const incarnation& owner) {
        entry_.received(new_link, run_inventory{owner, {report_of(run_, run_state::running)}, 0}, now_,
                        wall_);
        collect();
    }

    void expect_stop() {
        const std::vector<run_stop_request> stops = take_messages<run_stop_request>(new_link);
        ASSERT_EQ(stops.size(), 1U);
        EXPECT_EQ(stops[0].runs, std::vector<run_ref>{run_});
    }
};

// Guards against a run that goes on to its end although the cancellation of its job was acknowledged.
TEST_F(cancelled_run_test, is_stopped_when_its_agent_is_back) {
    cancel_while_agent_is_away(true);
    list_run(entry_.session());
    expect_stop();
}

// Guards against the same while the store has not answered the write of the end.
TEST_F(cancelled_run_test, is_stopped_when_its_agent_is_back_before_the_end_is_recorded) {
    cancel_while_agent_is_away(false);
    list_run(entry_.session());
    expect_stop();
}

// Guards against the same when the agent has restarted meanwhile.
TEST_F(cancelled_run_test, is_stopped_when_its_agent_has_restarted_before_the_end_is_recorded) {
    cancel_while_agent_is_away(false);
    list_run({});
    EXPECT_EQ(take_messages<run_claim>(new_link).size(), 1U);
    expect_stop();
}

// Guards against the same when a former owner of the job recorded the end. The successor does not know the
// job, and asks the store.
TEST_F(cancelled_run_test, is_stopped_by_a_successor_if_the_store_has_the_end) {
    prepare();
    connect_agent(new_link);
    run_ = {{"b", 0, 0, 0}, 1};
    store_.put(job_key("b"), job_status{job_state::cancelled, {}, 0});
    list_run({"former", 1});
    EXPECT_TRUE(take_messages<run_stop_request>(new_link).empty());
    serve_store();
    expect_stop();
}

// Guards against stopping a run of a job that this entry is about to adopt.
TEST_F(cancelled_run_test, is_not_stopped_if_its_job_is_open) {
    prepare();
    connect_agent(new_link);
    run_ = {{"b", 0, 0, 0}, 1};
    store_.put(job_key("b"), job_status{});
    list_run({"former", 1});
    serve_store();
    EXPECT_TRUE(take_messages<run_stop_request>(new_link).empty());
}

// Guards against a second run of a task that goes on at the former backend server of an agent that restarted.
TEST_F(entry_core_test, keeps_runs_at_the_former_backend_server_of_a_restarted_agent) {
    prepare();
    connect_agent();
    submit(job("a", false, 1));
    ASSERT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    constexpr link_number link = 12;
    entry_.link_opened(link, false, now_);
    agent_profile profile;
    profile.agent = {"agent", 2};
    profile.accepts_runs = true;
    profile.backend.id = "replacement";
    profile.backend.life = 2000;
    profile.backend.service = "service";
    profile.backend.capacity = {10000, 4096, 0};
    profile.reported_capacity.free = profile.backend.capacity;
    entry_.received(link, profile, now_, wall_);
    entry_.received(link, run_inventory{process_, {}, 0}, now_, wall_);
    advance_time(entry_limits{}.max_run_lease);
    EXPECT_TRUE(take_starts(link).empty());
    advance_time(entry_limits{}.run_lease_bound() - entry_limits{}.max_run_lease);
    EXPECT_EQ(take_starts(link).size(), 1U);
}

// Guards against ends that are never acknowledged to a backend server because no entry knows their job, and
// against acknowledging the end of a job that is still open at another entry.
TEST_F(entry_core_test, looks_up_the_job_of_an_unknown_end_in_the_store) {
    prepare();
    connect_agent();
    store_.put(job_key("open"), job_status{});
    job_status completed_status;
    completed_status.state = job_state::completed;
    store_.put(job_key("over"), completed_status);
    run_inventory orphans;
    std::uint64_t number = 0;
    for (const char* id : {"open", "over", "unknown"}) {
        run_report ended = report_of({{id, 0, 0, 0}, 1}, run_state::done);
        ended.end_number = ++number;
        ended.backend_life = 1000;
        ended.awaits_record = true;
        orphans.reports.push_back(ended);
    }
    // The agent asks one entry alone to query the store.
    entry_.received(agent_link, orphans, now_, wall_);
    serve_store();
    EXPECT_TRUE(take_messages<recorded_run_ends>().empty());
    orphans.is_store_check_requested = true;
    entry_.received(agent_link, orphans, now_, wall_);
    serve_store();
    std::vector<std::uint64_t> numbers;
    for (const recorded_run_ends& message : take_messages<recorded_run_ends>())
        numbers.insert(numbers.end(), message.end_numbers.begin(), message.end_numbers.end());
    EXPECT_EQ(numbers, (std::vector<std::uint64_t>{2, 3}));
}

// Guards against starting a task again while its run at an unreachable agent may continue: the entry must
// wait until the lease of that run has expired. Guards also against views of lost agents that are never
// erased.
TEST_F(entry_core_test, restarts_tasks_of_a_lost_agent_after_its_run_leases_expire) {
    prepare();
    connect_agent();
    job_submission request = job("a", false, 1);
    request.answer_by = now_ + milliseconds{10000};
    submit(request);
    EXPECT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    connect_agent(12, "other");
    const milliseconds bound = contact_lease + entry_limits{}.run_lease_bound();
    advance_time(bound - milliseconds{50});
    EXPECT_TRUE(take_starts(12).empty());
    advance_time(milliseconds{100});
    EXPECT_EQ(take_starts(12).size(), 1U);
    EXPECT_EQ(entry_.known_agents(), 2U);
    advance_time(durable_owner_absence);
    EXPECT_EQ(entry_.known_agents(), 1U);
}

// Guards against a second run of a durable task that has ended `done` at an agent behind a partition. The
// agent serves other entries, so the lease of its backend server goes on until the agent lets it expire.
TEST_F(entry_core_test, keeps_the_runs_of_an_unreachable_agent_until_it_lets_their_lease_expire) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    ASSERT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    connect_agent(12, "other");
    for (time_point end = now_ + durable_owner_absence + entry_limits{}.max_run_lease; now_ < end;) {
        advance_time(milliseconds{100});
        serve_store();
        ASSERT_TRUE(take_starts(12).empty());
    }
    advance_time(milliseconds{300});
    // A successor may have recorded their ends until the store denies it.
    EXPECT_TRUE(take_starts(12).empty());
    serve_store();
    advance_time(milliseconds{10});
    EXPECT_EQ(take_starts(12).size(), 1U);
}

// Guards against a task that goes on, or starts again, although a run of it that was presumed lost is done.
TEST_F(entry_core_test, takes_the_late_result_of_a_run_that_was_presumed_lost) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    const std::vector<run_ref> first = take_starts();
    ASSERT_EQ(first.size(), 1U);
    entry_.link_closed(agent_link);
    connect_agent(12, "other");
    for (int i = 0; i < 100; ++i) {
        advance_time(milliseconds{100});
        serve_store();
    }
    const std::vector<run_ref> second = take_starts(12);
    ASSERT_EQ(second.size(), 1U);
    connect_agent(13);
    take_messages<run_stop_request>(12);
    report(report_of(first[0], run_state::done), 13);
    const std::vector<run_stop_request> stops = take_messages<run_stop_request>(12);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].runs, second);
    serve_store();
    const auto* status = std::get_if<job_status>(&store_.items().at(job_key("a")).value);
    ASSERT_NE(status, nullptr);
    EXPECT_EQ(status->state, job_state::completed);
}

// Guards against a task that two owners start: an entry that cannot reach the store may be deposed, and an
// agent that has restarted since does not know of it.
TEST_F(entry_core_test, starts_durable_runs_at_a_restarted_agent_after_the_store_confirms_its_ownership) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    submit(job("b", false, 1));
    serve_store();
    ASSERT_EQ(take_starts().size(), 2U);
    advance_time(milliseconds{1});
    entry_.link_closed(agent_link);
    constexpr link_number link = 12;
    introduce_agent(link, "agent", 2);
    advance_time(milliseconds{30});
    const std::vector<run_ref> starts = take_starts(link);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, "b");
    serve_store();
    EXPECT_EQ(take_starts(link).size(), 1U);
}

// Guards against a second run of a task that is done: the successor of an entry that does not know that it is
// deposed has recorded the end, so a restarted agent does not list the run. Found by the histories with
// series of faults, seed 56.
TEST_F(entry_core_test, takes_no_run_for_lost_before_the_store_confirms_its_ownership) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    ASSERT_EQ(take_starts().size(), 1U);
    connect_agent(12, "other");
    advance_time(milliseconds{1});
    entry_.link_closed(agent_link);
    introduce_agent(13, "agent", 2);
    advance_time(milliseconds{30});
    EXPECT_TRUE(take_starts(12).empty());
    EXPECT_TRUE(take_starts(13).empty());
    serve_store();
    EXPECT_EQ(take_starts(12).size() + take_starts(13).size(), 1U);
}

// Guards against waiting for the store when only the connection to an agent was lost, during an outage.
TEST_F(entry_core_test, starts_durable_runs_at_a_reconnected_agent_while_the_store_is_away) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    const std::vector<run_ref> first = take_starts();
    ASSERT_EQ(first.size(), 1U);
    report(report_of(first[0], run_state::failed));
    take_starts();
    entry_.link_closed(agent_link);
    constexpr link_number link = 12;
    introduce_agent(link, "agent", 1);
    advance_time(milliseconds{30});
    EXPECT_EQ(take_starts(link).size(), 1U);
}

// Guards against starting a task of an adopted job while an agent may still run it: every recorded agent must
// first send its inventory for the previous session.
TEST_F(entry_core_test, starts_an_adopted_job_after_every_recorded_agent_replies) {
    const incarnation previous_session{"entry", 50};
    entry_record record = self();
    record.session = previous_session;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.max_attempts = 2;
    job_step step;
    step.task_count = 2;
    step.task_needs = {task_millicores, 64, 0};
    step.estimate_ms = 100;
    open.plan.steps.push_back(step);
    store_.put(open_job_key(previous_session, "a"), open);
    store_.put(job_key("a"), job_status{});
    store_.put(agent_key("agent"), agent_record{"agent", "zone"});
    store_.put(agent_key("other"), agent_record{"other", "zone"});
    prepare();
    connect_agent();
    EXPECT_EQ(take_messages<owner_succession>().size(), 1U);
    connect_agent(12, "other");
    run_report running = report_of({{"a", 0, 0, 1}, 1}, run_state::running);
    entry_.received(agent_link, run_inventory{previous_session, {running}, 0}, now_, wall_);
    advance_time(milliseconds{30});
    EXPECT_TRUE(take_starts().empty());
    EXPECT_TRUE(take_starts(12).empty());
    entry_.received(12, run_inventory{previous_session, {}, 0}, now_, wall_);
    advance_time(milliseconds{30});
    std::vector<run_ref> starts = take_starts();
    const std::vector<run_ref> more = take_starts(12);
    starts.insert(starts.end(), more.begin(), more.end());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.index, 0U);
    EXPECT_GT(starts[0].run, 1U);
}

// Sets up a job of the entry's previous session whose caller resubmits it before this entry has read the jobs
// of that session. Store calls that read these jobs or accept the job stay open until a test answers them.
class adoption_test : public entry_core_test {
protected:
    const incarnation previous_session_{"entry", 50};

    bool is_acceptance(const store_call& call) const {
        const auto* write = std::get_if<store_write>(&call);
        return write != nullptr &&
               std::any_of(write->conditions.begin(), write->conditions.end(),
                           [](const store_condition& condition) { return condition.key == job_key("a"); });
    }

    bool is_held(const store_call& call) const {
        const auto* list = std::get_if<store_list>(&call);
        return is_acceptance(call) || (list != nullptr && list->prefix == open_job_prefix(previous_session_));
    }

    caller_token submit_during_adoption() {
        entry_record record = self();
        record.session = previous_session_;
        store_.put(entry_key("entry"), record);
        open_job open;
        open.queue = "queue";
        open.service = "service";
        open.max_attempts = 2;
        open.plan = job("a", true, 1).plan;
        store_.put(open_job_key(previous_session_, "a"), open);
        job_status status;
        status.owner = previous_session_;
        store_.put(job_key("a"), status);
        prepare([this](const store_call& call) { return is_held(call); });
        const caller_token token = submit(job("a", true, 1));
        serve_store([this](const store_call& call) { return is_held(call); });
        EXPECT_FALSE(reply_to(token));
        // The jobs of the previous session are read before the acceptance is answered.
        serve_store([this](const store_call& call) { return is_acceptance(call); });
        return token;
    }
};

// Guards against a second run of a task of an adopted job that has ended `done` at an agent which cannot
// reach the successor but serves another entry.
TEST_F(adoption_test, waits_until_an_unreachable_agent_has_let_its_leases_expire) {
    entry_record record = self();
    record.session = previous_session_;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.max_attempts = 2;
    open.plan = job("a", true, 1).plan;
    store_.put(open_job_key(previous_session_, "a"), open);
    store_.put(job_key("a"), job_status{});
    store_.put(agent_key("agent"), agent_record{"agent", "zone"});
    store_.put(agent_key("unreachable"), agent_record{"unreachable", "zone"});
    prepare();
    connect_agent();
    entry_.received(agent_link, run_inventory{previous_session_, {}, 0}, now_, wall_);
    for (time_point end = now_ + durable_owner_absence + entry_limits{}.max_run_lease; now_ < end;) {
        advance_time(milliseconds{100});
        serve_store();
        ASSERT_TRUE(take_starts().empty());
    }
    advance_time(milliseconds{300});
    EXPECT_EQ(take_starts().size(), 1U);
}

// Guards against two owners that both start the tasks of a job: an agent that has restarted after the
// adoption was settled does not know that the former owner is deposed.
TEST_F(adoption_test, tells_a_restarted_agent_that_the_former_owner_is_deposed) {
    entry_record record = self();
    record.session = previous_session_;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.max_attempts = 2;
    open.plan = job("a", true, 1).plan;
    store_.put(open_job_key(previous_session_, "a"), open);
    store_.put(job_key("a"), job_status{});
    store_.put(agent_key("agent"), agent_record{"agent", "zone"});
    prepare();
    connect_agent();
    entry_.received(agent_link, run_inventory{previous_session_, {}, 0}, now_, wall_);
    advance_time(milliseconds{30});
    ASSERT_EQ(take_starts().size(), 1U);
    entry_.link_closed(agent_link);
    constexpr link_number link = 12;
    introduce_agent(link, "agent", 2);
    collect();
    const std::vector<owner_succession> told = take_messages<owner_succession>(link);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].former, previous_session_);
    EXPECT_EQ(told[0].successor, entry_.session());
}

// Guards against losing a job that is resubmitted during its adoption. In the soak with seed 46 the adoption
// skipped the job because its acceptance was in flight, and the acceptance then dropped the job because it
// found the record of the previous session.
TEST_F(adoption_test, keeps_a_job_resubmitted_during_adoption) {
    const caller_token token = submit_during_adoption();
    serve_store();
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_EQ(entry_.open_jobs(), 1U);
}

// Guards against refusing a job that a previous session has accepted, when the store refuses the new
// acceptance.
TEST_F(adoption_test, does_not_refuse_an_adopted_job) {
    const caller_token token = submit_during_adoption();
    for (int i = 0; i < 20 && !reply_to(token); ++i) {
        for (const store_request& request : std::exchange(store_requests_, {})) {
            if (is_acceptance(request.call))
                entry_.store_replied(request.id, store_failure{"refused", false}, now_, wall_);
            else
                store_requests_.push_back(request);
        }
        advance_time(milliseconds{50});
    }
    ASSERT_TRUE(reply_to(token));
    EXPECT_EQ(reply_to(token)->kind, caller_reply_kind::accepted);
    EXPECT_EQ(entry_.open_jobs(), 1U);
}

// Guards against starting a task while a run of it continues that an intermediate owner started. In the soak
// with seed 146 the agent's inventory for the first owner arrived before the one for the second owner, which
// had started the run.
TEST_F(adoption_test, starts_no_task_before_the_runs_of_all_previous_owners_are_known) {
    const incarnation second{"entry", 51};
    entry_record record = self();
    record.session = second;
    store_.put(entry_key("entry"), record);
    store_.put(adopted_key(previous_session_), session_adoption{previous_session_, second, 1});
    store_.put(agent_key("agent"), agent_record{"zone"});
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.max_attempts = 2;
    open.plan = job("a", true, 1).plan;
    store_.put(open_job_key(previous_session_, "a"), open);
    prepare();
    connect_agent();
    ASSERT_EQ(entry_.open_jobs(), 1U);
    entry_.received(agent_link, run_inventory{previous_session_, {}, 0}, now_, wall_);
    advance_time(milliseconds{1});
    EXPECT_TRUE(take_starts().empty());
    const run_ref run{{"a", 0, 0, 0}, 1000001};
    entry_.received(agent_link, run_inventory{second, {report_of(run, run_state::running)}, 0}, now_, wall_);
    advance_time(milliseconds{1});
    EXPECT_TRUE(take_starts().empty());
    run_report lapsed = report_of(run, run_state::lapsed);
    report(lapsed);
    advance_time(milliseconds{1});
    EXPECT_EQ(take_starts().size(), 1U);
}

// Guards against a job that is shown as failed after one of two attempts: its owner died after it had
// recorded the failure and before it had acknowledged it, so the agent reports the end to the successor.
TEST_F(adoption_test, does_not_count_a_recorded_failure_again) {
    entry_record record = self();
    record.session = previous_session_;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.max_attempts = 2;
    open.plan = job("a", true, 1).plan;
    open.progress.push_back({0, 0, 0, false, 1, {}, {1}});
    store_.put(open_job_key(previous_session_, "a"), open);
    store_.put(job_key("a"), job_status{});
    store_.put(agent_key("agent"), agent_record{"agent", "zone"});
    prepare();
    connect_agent();
    const run_ref first{{"a", 0, 0, 0}, 1};
    const run_ref second{{"a", 0, 0, 0}, 2};
    run_report failed = report_of(first, run_state::failed);
    failed.end_number = 1;
    failed.backend_life = 1000;
    failed.awaits_record = true;
    entry_.received(agent_link,
                    run_inventory{previous_session_, {failed, report_of(second, run_state::running)}, 0},
                    now_, wall_);
    advance_time(milliseconds{30});
    serve_store();
    EXPECT_TRUE(take_messages<run_stop_request>().empty());
    EXPECT_TRUE(take_starts().empty());
    report(report_of(second, run_state::done));
    serve_store();
    const auto* status = std::get_if<job_status>(&store_.items().at(job_key("a")).value);
    ASSERT_NE(status, nullptr);
    EXPECT_EQ(status->state, job_state::completed);
    // The repeated end is acknowledged, or its agent would report it for ever.
    const std::vector<recorded_run_ends> recorded = take_messages<recorded_run_ends>();
    ASSERT_EQ(recorded.size(), 1U);
    EXPECT_EQ(recorded[0].end_numbers, std::vector<std::uint64_t>{1});
}

// Guards against a job that never ends: all of its tasks were done and recorded when its owner stopped.
TEST_F(adoption_test, completes_a_job_whose_tasks_are_all_done) {
    entry_record record = self();
    record.session = previous_session_;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.plan = job("a", true, 2).plan;
    open.plan.repeat_count = 2;
    for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
        for (task_index index = 0; index < 2; ++index)
            open.progress.push_back({occurrence, 0, index, true, 0, {}, {}});
    }
    store_.put(open_job_key(previous_session_, "a"), open);
    store_.put(job_key("a"), job_status{});
    prepare();
    connect_agent();
    EXPECT_TRUE(take_starts().empty());
    const auto* status = std::get_if<job_status>(&store_.items().at(job_key("a")).value);
    ASSERT_NE(status, nullptr);
    EXPECT_EQ(status->state, job_state::completed);
    EXPECT_EQ(entry_.open_jobs(), 0U);
}

// Guards against an end that is shown before the store has recorded it: the entry has asked the store for the
// job, adopts it before the answer, and ends it.
TEST_F(adoption_test, shows_no_end_of_an_adopted_job_that_is_not_recorded) {
    entry_record record = self();
    record.session = previous_session_;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.plan = job("a", true, 1).plan;
    open.progress.push_back({0, 0, 0, true, 0, {}, {}});
    store_.put(open_job_key(previous_session_, "a"), open);
    store_.put(job_key("a"), job_status{job_state::queued, previous_session_, 0});
    const auto is_write_or_read = [](const store_call& call) {
        const auto* write = std::get_if<store_write>(&call);
        return std::holds_alternative<store_read>(call) || (write != nullptr && !write->removals.empty());
    };
    prepare([](const store_call& call) { return std::holds_alternative<store_list>(call); });
    entry_.query_state(77, "a", now_ + milliseconds{1000}, now_);
    serve_store(is_write_or_read);
    ASSERT_FALSE(reply_to(77));
    serve_store([&](const store_call& call) {
        return is_write_or_read(call) && !std::holds_alternative<store_read>(call);
    });
    ASSERT_TRUE(reply_to(77));
    EXPECT_FALSE(is_final(reply_to(77)->state));
    serve_store();
    const auto* status = std::get_if<job_status>(&store_.items().at(job_key("a")).value);
    ASSERT_NE(status, nullptr);
    EXPECT_EQ(status->state, job_state::completed);
}

// Guards against a stopping entry that accepts jobs which it can no longer answer, and against one that
// leaves the membership while it still serves.
TEST_F(entry_core_test, serves_until_the_shutdown_refusal_time_and_then_leaves) {
    prepare();
    connect_agent();
    const time_point refuse_at = now_ + milliseconds{2000};
    entry_.begin_shutdown(refuse_at, now_ + milliseconds{3000}, now_);
    EXPECT_FALSE(entry_.is_ready());
    advance_time(milliseconds{100});
    serve_store();
    EXPECT_FALSE(entry_.has_left());
    const caller_token early = submit(job("a", false, 1));
    EXPECT_EQ(take_starts().size(), 1U);
    advance_time(milliseconds{1950});
    const caller_token late = submit(job("b", true, 1));
    ASSERT_TRUE(reply_to(late));
    EXPECT_EQ(reply_to(late)->reason, submit_refusal::shutting_down);
    submit(job("c", false, 1));
    EXPECT_EQ(take_starts().size(), 1U);
    advance_time(milliseconds{1000});
    const caller_token last = submit(job("d", false, 1));
    ASSERT_TRUE(reply_to(last));
    EXPECT_EQ(reply_to(last)->reason, submit_refusal::shutting_down);
    entry_.answer_waiting_callers();
    collect();
    ASSERT_TRUE(reply_to(early));
    EXPECT_EQ(reply_to(early)->kind, caller_reply_kind::uncertain);
    advance_time(milliseconds{10});
    serve_store();
    EXPECT_TRUE(entry_.has_left());
}

// Guards against an entry that adopts jobs while it shuts down, and leaves before it has read them.
TEST_F(entry_core_test, adopts_nothing_while_it_shuts_down) {
    const incarnation other{"other", 9};
    entry_record record;
    record.session = other;
    record.is_leaving = true;
    store_.put(entry_key("other"), record);
    store_.put(liveness_key(other), std::string{});
    prepare();
    entry_.begin_shutdown(now_ + milliseconds{2000}, now_ + milliseconds{3000}, now_);
    store_.remove(liveness_key(other));
    for (int i = 0; i < 20; ++i) {
        serve_store();
        advance_time(milliseconds{100});
    }
    EXPECT_FALSE(store_.items().contains(adopted_key(other)));
    EXPECT_TRUE(store_.items().contains(entry_key("other")));
}

// Guards against a session that continues to act after another entry has adopted its jobs.
TEST_F(entry_core_test, drops_durable_jobs_when_its_session_is_deposed) {
    prepare();
    connect_agent();
    submit(job("a", true, 1));
    serve_store();
    take_starts();
    const caller_token pending = submit(job("b", true, 1));
    store_.remove(entry_key("entry"));
    serve_store();
    ASSERT_TRUE(reply_to(pending));
    EXPECT_EQ(reply_to(pending)->kind, caller_reply_kind::uncertain);
    EXPECT_EQ(entry_.open_jobs(), 0U);
    advance_time(milliseconds{200});
    serve_store();
    EXPECT_GT(entry_.session().number, 101U);
}

// Guards against a successor that waits for agents which never connect, because they serve other entries.
TEST_F(entry_core_test, asks_the_other_entries_for_agents_that_an_adoption_needs) {
    const incarnation previous_session{"entry", 50};
    entry_record record = self();
    record.session = previous_session;
    store_.put(entry_key("entry"), record);
    open_job open;
    open.queue = "queue";
    open.service = "service";
    open.plan = job("a", true, 1).plan;
    store_.put(open_job_key(previous_session, "a"), open);
    store_.put(agent_key("agent"), agent_record{"agent", "zone"});
    store_.put(agent_key("other"), agent_record{"other", "zone"});
    constexpr link_number peer_link = 20;
    entry_.link_opened(peer_link, false, now_);
    entry_.received(peer_link, peer_hello{"peer", {"peer", 1}}, now_, wall_);
    prepare();
    connect_agent();
    std::vector<connection_request> requests = take_messages<connection_request>(peer_link);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].entry_address, self().peer_address);
    advance_time(entry_limits{}.connection_request_interval);
    EXPECT_EQ(take_messages<connection_request>(peer_link).size(), 1U);
    connect_agent(12, "other");
    advance_time(entry_limits{}.connection_request_interval);
    EXPECT_TRUE(take_messages<connection_request>(peer_link).empty());
}

// Guards against requests for a connection that do not reach the agents, or that anything but an entry makes.
TEST_F(entry_core_test, passes_a_connection_request_of_an_entry_on_to_its_agents) {
    prepare();
    connect_agent();
    constexpr link_number peer_link = 20;
    entry_.link_opened(peer_link, false, now_);
    entry_.received(peer_link, connection_request{"peer:1"}, now_, wall_);
    collect();
    EXPECT_TRUE(take_messages<connection_request>().empty());
    entry_.received(peer_link, peer_hello{"peer", {"peer", 1}}, now_, wall_);
    entry_.received(peer_link, connection_request{"peer:1"}, now_, wall_);
    collect();
    const std::vector<connection_request> requests = take_messages<connection_request>();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].entry_address, "peer:1");
}

} // namespace
} // namespace persimmonstile
