#include "coordination/job_ledger.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint32_t tasks = 3;
constexpr std::int64_t first_start_ms = 1'000'000;
constexpr std::int64_t interval_ms = 10'000;

// A successor's ledger of a job with three occurrences of three tasks. The record is what its former owner
// stored.
class repeated_job_test : public testing::Test {
protected:
    time_point now_{std::chrono::seconds{100}};
    open_job record_;
    job_ledger ledger_;

    repeated_job_test() {
        job_step step;
        step.task_count = tasks;
        record_.plan.steps.push_back(step);
        record_.plan.repeat_count = 3;
        record_.plan.first_start_ms = first_start_ms;
        record_.plan.interval_ms = interval_ms;
    }

    void store_done(std::uint32_t occurrence, std::uint32_t count) {
        for (task_index index = 0; index < count; ++index)
            record_.progress.push_back({occurrence, 0, index, true, 0, {}, {}});
    }

    ledger_job& adopt() {
        ledger_job& job =
            ledger_.add("a", std::make_shared<open_job>(record_), {"former", 1}, 1'000'000, now_);
        job.phase = job_phase::open;
        return job;
    }
};

// Guards against a second run of tasks that had ended done in an occurrence that was due before the adoption.
TEST_F(repeated_job_test, successor_runs_no_task_of_a_finished_occurrence) {
    store_done(0, tasks);
    ledger_job& job = adopt();
    EXPECT_EQ(job.occurrences_left, 2U);
    job_ledger::start_due_occurrences(job, first_start_ms + interval_ms / 2);
    EXPECT_EQ(job_ledger::count_placeable_tasks(job), 0U);
    job_ledger::start_due_occurrences(job, first_start_ms + interval_ms);
    EXPECT_EQ(job_ledger::count_placeable_tasks(job), tasks);
}

// Guards against the same when some tasks of several occurrences are done, and against a successor whose
// clock is behind and which stores the job without the progress of occurrences that are not due by it.
TEST_F(repeated_job_test, successor_keeps_the_progress_of_all_occurrences) {
    store_done(0, 2);
    store_done(2, 1);
    record_.progress.push_back({1, 0, 1, false, 2, "saved", {}});
    ledger_job& job = adopt();
    EXPECT_EQ(job_ledger::count_placeable_tasks(job), 1U + tasks + 2U);
    const ledger_task* task = job_ledger::find_task(job, {"a", 1, 0, 1});
    ASSERT_NE(task, nullptr);
    EXPECT_EQ(task->failures, 2U);
    EXPECT_EQ(task->checkpoint, "saved");
    EXPECT_EQ(job_ledger::record_with_progress(job)->progress.size(), record_.progress.size());
    job_ledger::start_due_occurrences(job, first_start_ms + 2 * interval_ms);
    EXPECT_EQ(job_ledger::count_placeable_tasks(job), 1U + tasks + 2U);
}

// Guards against a job that never ends, because occurrences that ended before the adoption count as open.
TEST_F(repeated_job_test, successor_counts_finished_occurrences) {
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence)
        store_done(occurrence, tasks);
    EXPECT_EQ(adopt().occurrences_left, 0U);
}

// Guards against a run that starts again because its end is reported before the successor has begun the
// occurrence: it would be acknowledged without being recorded.
TEST_F(repeated_job_test, successor_records_an_end_of_an_occurrence_that_it_has_not_begun) {
    ledger_job& job = adopt();
    run_report done;
    done.run = {{"a", 1, 0, 2}, 1};
    done.state = run_state::done;
    EXPECT_EQ(job_ledger::apply_report(job, done, 1, now_), report_effect::done);
    EXPECT_EQ(job_ledger::record_with_progress(job)->progress.size(), 1U);
    job_ledger::start_due_occurrences(job, first_start_ms + 2 * interval_ms);
    EXPECT_EQ(job_ledger::count_placeable_tasks(job), 3 * tasks - 1);
}

// Guards against occurrences beyond the last one that a malformed report names.
TEST_F(repeated_job_test, ignores_a_run_of_an_occurrence_that_does_not_exist) {
    ledger_job& job = adopt();
    run_report done;
    done.run = {{"a", 3, 0, 0}, 1};
    done.state = run_state::done;
    EXPECT_EQ(job_ledger::apply_report(job, done, 1, now_), report_effect::nothing);
    EXPECT_FALSE(job.occurrences.contains(3));
}

// The ledgers of the successive owners of a job with one task. Agents report the end of a run until it is
// recorded and acknowledged, so a successor gets reports that its predecessor got too.
class failed_run_test : public testing::Test {
protected:
    static constexpr run_number runs_per_owner = 1'000'000;

    time_point now_{std::chrono::seconds{100}};
    open_job record_;
    run_number last_predecessor_run_ = 0;
    std::unique_ptr<job_ledger> ledger_;
    ledger_job* job_ = nullptr;

    failed_run_test() {
        job_step step;
        step.task_count = 1;
        record_.plan.steps.push_back(step);
        begin_owner();
    }

    void begin_owner() {
        ledger_ = std::make_unique<job_ledger>();
        job_ = &ledger_->add("a", std::make_shared<open_job>(record_), {"owner", 1}, last_predecessor_run_,
                             now_);
        job_->phase = job_phase::open;
    }

    // The owner dies. Its successor reads the progress that was stored last.
    void replace_owner() {
        last_predecessor_run_ += runs_per_owner;
        begin_owner();
    }

    void store_progress() { record_ = *job_ledger::record_with_progress(*job_); }

    ledger_task& task() { return *job_ledger::find_task(*job_, {"a", 0, 0, 0}); }

    run_number start(agent_number agent = 1) {
        ledger_task& started = task();
        started.run = std::max(started.run, last_predecessor_run_) + 1;
        started.agent = agent;
        job_ledger::set_phase(*job_, started, task_phase::placed);
        return started.run;
    }

    report_effect report(run_number run, run_state state, agent_number agent = 1) {
        run_report reported;
        reported.run = {{"a", 0, 0, 0}, run};
        reported.state = state;
        return job_ledger::apply_report(*job_, reported, agent, now_);
    }
};

// Guards against a job that is shown as failed although it has attempts left: the predecessor had recorded
// the failure, but had not acknowledged it.
TEST_F(failed_run_test, successor_counts_a_recorded_failure_once) {
    const run_number first = start();
    report(first, run_state::failed);
    const run_number second = start();
    report(second, run_state::running);
    store_progress();
    replace_owner();
    EXPECT_EQ(report(first, run_state::failed), report_effect::nothing);
    EXPECT_EQ(report(second, run_state::running), report_effect::started);
    EXPECT_EQ(task().failures, 1U);
    EXPECT_EQ(task().phase, task_phase::running);
    EXPECT_EQ(report(second, run_state::done), report_effect::done);
}

// Guards against the same through a delayed report that a failed run has started.
TEST_F(failed_run_test, successor_does_not_take_a_failed_run_for_a_run_in_progress) {
    const run_number first = start();
    report(first, run_state::failed);
    store_progress();
    replace_owner();
    EXPECT_EQ(report(first, run_state::running), report_effect::nothing);
    EXPECT_EQ(task().phase, task_phase::waiting);
}

// Guards against a start beyond the attempts: failures that are reported after that of a later run, or while
// a later run is in progress, were not counted.
TEST_F(failed_run_test, successor_counts_failures_reported_in_any_order) {
    replace_owner();
    EXPECT_EQ(report(3, run_state::running), report_effect::started);
    EXPECT_EQ(report(2, run_state::failed), report_effect::failed);
    EXPECT_EQ(report(1, run_state::failed), report_effect::failed);
    EXPECT_EQ(task().phase, task_phase::running);
    EXPECT_EQ(report(3, run_state::failed), report_effect::failed);
    EXPECT_EQ(task().failures, 3U);
    EXPECT_EQ(task().phase, task_phase::waiting);
}

// Guards against a start beyond the attempts: a run that was presumed lost has failed.
TEST_F(failed_run_test, counts_the_failure_of_a_run_that_was_presumed_lost) {
    const run_number first = start();
    report(first, run_state::lapsed);
    const run_number second = start(2);
    EXPECT_EQ(report(first, run_state::failed), report_effect::failed);
    EXPECT_EQ(task().run, second);
    EXPECT_EQ(task().phase, task_phase::placed);
    EXPECT_EQ(task().failures, 1U);
}

// Guards against a second run of a task whose newest run is done, when the successor has found an older run
// first.
TEST_F(failed_run_test, takes_the_result_of_a_newer_run_than_the_one_in_progress) {
    replace_owner();
    report(1, run_state::running, 1);
    EXPECT_EQ(report(2, run_state::done, 2), report_effect::done);
    EXPECT_EQ(task().phase, task_phase::done);
}

// Guards against a job that fails too early because the record of an earlier version does not name the failed
// runs. Failures of the present owner's runs are not in that record.
TEST_F(failed_run_test, takes_a_reported_failure_for_one_in_the_record_of_an_earlier_version) {
    record_.progress.push_back({0, 0, 0, false, 1, {}, {}});
    replace_owner();
    EXPECT_EQ(report(1, run_state::failed), report_effect::failed);
    EXPECT_EQ(task().failures, 1U);
    EXPECT_EQ(report(2, run_state::failed), report_effect::failed);
    EXPECT_EQ(task().failures, 2U);
    const run_number third = start();
    report(third, run_state::failed);
    EXPECT_EQ(task().failures, 3U);
    store_progress();
    replace_owner();
    for (const run_number run : {third, run_number{2}, run_number{1}})
        EXPECT_EQ(report(run, run_state::failed), report_effect::nothing);
    EXPECT_EQ(task().failures, 3U);
}

TEST_F(failed_run_test, counts_an_own_failure_beside_those_in_the_record_of_an_earlier_version) {
    record_.progress.push_back({0, 0, 0, false, 1, {}, {}});
    replace_owner();
    report(start(), run_state::failed);
    EXPECT_EQ(task().failures, 2U);
}

// Guards against any other order of failures, repeated reports, writes and successions. Every unrecorded
// failure is reported to a successor in random order, and recorded ones as well.
TEST_F(failed_run_test, counts_each_failed_run_once_in_random_histories) {
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random{seed};
        record_.progress.clear();
        last_predecessor_run_ = 0;
        begin_owner();
        std::vector<run_number> failed;
        const auto report_again = [&] {
            std::shuffle(failed.begin(), failed.end(), random);
            for (const run_number run : failed)
                report(run, random() % 4 == 0 ? run_state::running : run_state::failed);
            for (const run_number run : failed)
                report(run, run_state::failed);
        };
        for (int event = 0; event < 20; ++event) {
            switch (random() % 4) {
            case 0:
                store_progress();
                break;
            case 1:
                replace_owner();
                report_again();
                break;
            case 2:
                report_again();
                break;
            default:
                failed.push_back(start());
                report(failed.back(), run_state::failed);
            }
            ASSERT_EQ(task().failures, failed.size()) << "seed " << seed << " event " << event;
            ASSERT_EQ(task().phase, task_phase::waiting) << "seed " << seed << " event " << event;
        }
    }
}

} // namespace
} // namespace persimmonstile
