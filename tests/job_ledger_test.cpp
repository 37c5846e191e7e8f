#include "coordination/job_ledger.h"

#include <memory>

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
            record_.progress.push_back({occurrence, 0, index, true, 0, {}});
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
    record_.progress.push_back({1, 0, 1, false, 2, "saved"});
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

} // namespace
} // namespace persimmonstile
