#include "coordination/agent_task_table.h"
#include "state/limits.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr const char* service = "dispatch";
const incarnation owner{"entry", 1};
const incarnation self{"agent", 7};

// Provides an agent whose start condition holds. Its backend server has two slots.
class agent_task_table_test : public testing::Test {
protected:
    agent_task_table_test() {
        set_fleet(1, false);
        tasks_.extend_lease(now_ + grant_period, now_);
        tasks_.mark_agent_recorded(now_);
        tasks_.announced({service, "url", 2, 8, false}, now_);
    }

    void set_fleet(config_revision revision, bool zone_out) {
        auto fleet = std::make_shared<fleet_view>();
        fleet->revision = revision;
        if (zone_out)
            fleet->zones_out.insert("zone");
        last_actions_ = tasks_.set_fleet(fleet, now_);
    }

    agent_actions dispatch_task(task_index index, std::uint32_t attempt = 1, epoch_number epoch = 1,
                                config_revision revision = 1, bool is_idempotent = false) {
        dispatch message;
        message.target = self;
        message.job = "job";
        message.partition = partition_of(message.job);
        message.epoch = epoch;
        message.revision = revision;
        message.service = service;
        message.remaining_ms = 60000;
        message.tasks = {{index, attempt, "{}"}};
        message.is_idempotent = is_idempotent;
        return tasks_.dispatched(owner, message, now_);
    }

    static task_report only_report(const agent_actions& actions) {
        EXPECT_EQ(actions.sends.size(), 1U);
        return std::get<task_reports>(actions.sends.at(0).message).reports.at(0);
    }

    time_point now_{std::chrono::seconds{100}};
    agent_task_table tasks_{self, "zone", "rack"};
    agent_actions last_actions_;
};

// Guards against a second start when an owner repeats a dispatch on a new connection.
TEST_F(agent_task_table_test, a_duplicate_dispatch_starts_nothing) {
    EXPECT_EQ(dispatch_task(0).calls.size(), 1U);
    const agent_actions copy = dispatch_task(0);
    EXPECT_TRUE(copy.calls.empty());
    EXPECT_TRUE(copy.sends.empty());
    tasks_.answered("job", 0, {backend_result_kind::answered, "1"}, now_);
    const task_report repeated_report = only_report(dispatch_task(0));
    EXPECT_EQ(repeated_report.status, task_status::succeeded);
    EXPECT_EQ(repeated_report.text, "1");
}

// Guards against a repeated attempt that is neither started nor reported and so waits until its deadline. A
// report of an earlier attempt does not help, because the owner ignores it.
TEST_F(agent_task_table_test, a_later_attempt_after_a_lost_answer_is_started_or_reported) {
    dispatch_task(0, 1);
    tasks_.answered("job", 0, {backend_result_kind::lost, "no answer"}, now_);
    const agent_actions repeated = dispatch_task(0, 2);
    if (repeated.calls.empty()) {
        EXPECT_EQ(only_report(repeated).attempt, 2U);
    }
}

// Guards against a second start of a task whose answer was lost, unless the request is idempotent.
TEST_F(agent_task_table_test, only_an_idempotent_request_starts_again_after_a_lost_answer) {
    dispatch_task(0, 1);
    tasks_.answered("job", 0, {backend_result_kind::lost, "no answer"}, now_);
    const agent_actions refused = dispatch_task(0, 2);
    EXPECT_TRUE(refused.calls.empty());
    EXPECT_EQ(only_report(refused).status, task_status::unknown);
    EXPECT_EQ(dispatch_task(0, 3, 1, 1, true).calls.size(), 1U);
}

// Guards against an unknown outcome for jobs that never reached an agent before its planned shutdown.
TEST_F(agent_task_table_test, known_jobs_are_those_with_a_record) {
    EXPECT_TRUE(tasks_.known_job_hashes().empty());
    dispatch_task(0);
    EXPECT_EQ(tasks_.known_job_hashes(), std::vector<std::uint64_t>{hash_job_id("job")});
}

// Guards against a start whose dispatch arrives after its revocation.
TEST_F(agent_task_table_test, a_revoked_attempt_never_starts) {
    revoke revocation{partition_of("job"), 1, "job", {{0, 1}}};
    tasks_.revoked(owner, revocation, now_);
    const agent_actions late = dispatch_task(0, 1);
    EXPECT_TRUE(late.calls.empty());
    EXPECT_EQ(only_report(late).reason, refusal::revoked);
    EXPECT_EQ(dispatch_task(0, 2).calls.size(), 1U);
}

// Guards against work for an owner that has been replaced.
TEST_F(agent_task_table_test, an_old_epoch_is_refused_after_a_query) {
    tasks_.queried({"entry-2", 1}, {partition_of("job"), 2, "job"}, now_);
    const agent_actions late = dispatch_task(0, 1, 1);
    EXPECT_TRUE(late.calls.empty());
    EXPECT_EQ(only_report(late).reason, refusal::stale_epoch);
    EXPECT_EQ(tasks_.stale_messages(), 1U);
}

// Guards against a task that is dropped without the owner's knowledge. In history 14676 of job_simulation a
// duplicate query arrived after the dispatch that followed the answer to the first query.
TEST_F(agent_task_table_test, a_late_duplicate_query_drops_no_task) {
    const query_job query{partition_of("job"), 2, "job"};
    tasks_.queried(owner, query, now_);
    for (task_index i = 0; i < 3; ++i)
        dispatch_task(i, 1, 2);
    tasks_.queried(owner, query, now_);
    const agent_actions ended = tasks_.answered("job", 0, {backend_result_kind::answered, "1"}, now_);
    EXPECT_EQ(ended.calls.size(), 1U);
    EXPECT_EQ(ended.calls.at(0).index, 2U);
}

// Guards against a second start. In history 492 of job_simulation an owner confirmed an adopted task with a
// copy of its dispatch while the refusal of the task was in flight. The refusal then sent the task to another
// agent.
TEST_F(agent_task_table_test, a_dispatch_of_an_adopted_attempt_is_a_duplicate) {
    dispatch_task(0);
    tasks_.queried({"entry-2", 1}, {partition_of("job"), 2, "job"}, now_);
    tasks_.answered("job", 0, {backend_result_kind::declined, "declined"}, now_);
    const agent_actions copy = dispatch_task(0, 1, 2);
    EXPECT_TRUE(copy.calls.empty());
    EXPECT_EQ(only_report(copy).status, task_status::not_started);
    EXPECT_EQ(dispatch_task(0, 2, 2).calls.size(), 1U);
}

// Guards against answering for another incarnation of the agent, which may have started the task.
TEST_F(agent_task_table_test, a_dispatch_for_another_incarnation_is_not_answered) {
    dispatch message;
    message.target = {"agent", 6};
    message.job = "job";
    message.service = service;
    message.tasks = {{0, 1, "{}"}};
    const agent_actions actions = tasks_.dispatched(owner, message, now_);
    EXPECT_TRUE(actions.calls.empty());
    EXPECT_TRUE(actions.sends.empty());
}

// Guards against starts in a zone that is out of service. Queued tasks are returned; running tasks finish.
TEST_F(agent_task_table_test, zone_out_refuses_queued_and_new_tasks_and_lets_running_ones_finish) {
    dispatch_task(0);
    dispatch_task(1);
    EXPECT_TRUE(dispatch_task(2).calls.empty());
    set_fleet(2, true);
    EXPECT_EQ(only_report(last_actions_).reason, refusal::zone_out);
    EXPECT_EQ(only_report(last_actions_).index, 2U);
    EXPECT_EQ(only_report(dispatch_task(3)).reason, refusal::zone_out);
    const agent_actions ended = tasks_.answered("job", 0, {backend_result_kind::answered, "1"}, now_);
    EXPECT_EQ(only_report(ended).status, task_status::succeeded);
    EXPECT_TRUE(ended.calls.empty());
}

// Guards against replacing a configuration with an older one.
TEST_F(agent_task_table_test, an_older_revision_changes_nothing) {
    set_fleet(3, true);
    set_fleet(2, false);
    EXPECT_EQ(tasks_.status().revision, 3U);
    EXPECT_EQ(only_report(dispatch_task(0)).reason, refusal::zone_out);
}

// Guards against starts by an agent that was paused or disconnected beyond its lease and may have missed that
// its zone was taken out of service.
TEST_F(agent_task_table_test, nothing_starts_without_a_valid_lease) {
    now_ += grant_period;
    EXPECT_TRUE(dispatch_task(0).calls.empty());
    EXPECT_EQ(tasks_.extend_lease(now_ + grant_period, now_).calls.size(), 1U);
}

// Guards against queued tasks that wait for ever on an agent whose lease is not renewed.
TEST_F(agent_task_table_test, queued_tasks_are_returned_without_a_valid_lease) {
    now_ += grant_period;
    dispatch_task(0);
    now_ += std::chrono::seconds{1};
    tasks_.announced({service, "url", 2, 8, false}, now_);
    EXPECT_EQ(only_report(tasks_.tick(now_)).reason, refusal::no_lease);
}

// Guards against a start under a configuration that the owner knows to be outdated.
TEST_F(agent_task_table_test, a_dispatch_of_a_newer_revision_waits_for_the_configuration) {
    const agent_actions ahead = dispatch_task(0, 1, 1, 2);
    EXPECT_TRUE(ahead.calls.empty());
    EXPECT_EQ(ahead.fetch_from, owner);
    set_fleet(2, false);
    EXPECT_EQ(last_actions_.calls.size(), 1U);
}

// Guards against new work for a backend server that is leaving or whose announcement has expired.
TEST_F(agent_task_table_test, a_leaving_backend_server_gets_no_new_work) {
    tasks_.announced({service, "url", 2, 8, true}, now_);
    EXPECT_EQ(only_report(dispatch_task(0)).reason, refusal::no_backend_server);
    tasks_.announced({service, "url", 2, 8, false}, now_);
    EXPECT_EQ(dispatch_task(0, 2).calls.size(), 1U);
    now_ += announcement_lifetime + milliseconds{1};
    tasks_.tick(now_);
    EXPECT_TRUE(tasks_.take_status_change());
    EXPECT_TRUE(tasks_.status().services.empty());
    EXPECT_EQ(only_report(dispatch_task(1)).reason, refusal::no_backend_server);
}

// Guards against a shutdown that drops accepted tasks without a report to the owner.
TEST_F(agent_task_table_test, draining_returns_queued_tasks) {
    dispatch_task(0);
    dispatch_task(1);
    dispatch_task(2);
    const agent_actions drained = tasks_.drain(now_);
    EXPECT_EQ(only_report(drained).index, 2U);
    EXPECT_EQ(only_report(drained).reason, refusal::draining);
    EXPECT_EQ(tasks_.running(), 2U);
}

// Guards against a queue that holds tasks which another agent could run.
TEST_F(agent_task_table_test, the_queue_is_bounded_by_the_slots) {
    for (task_index i = 0; i < 4; ++i)
        dispatch_task(i);
    EXPECT_EQ(only_report(dispatch_task(4)).reason, refusal::queue_full);
}

// Guards against records that exhaust memory, and against discarding records within the deduplication window.
TEST_F(agent_task_table_test, records_are_kept_for_the_deduplication_window) {
    dispatch_task(0);
    tasks_.answered("job", 0, {backend_result_kind::answered, "1"}, now_);
    const query_job query{partition_of("job"), 1, "job"};
    const auto reports_of = [&] {
        return std::get<job_report>(tasks_.queried(owner, query, now_).sends.at(0).message).reports.size();
    };
    now_ += deduplication_window - milliseconds{1};
    tasks_.tick(now_);
    EXPECT_EQ(reports_of(), 1U);
    now_ += deduplication_window;
    tasks_.tick(now_);
    EXPECT_EQ(reports_of(), 0U);
}

} // namespace
} // namespace persimmonstile
