#include "coordination/admission/admission_control.h"
#include "coordination/admission/capacity_forecast.h"
#include "coordination/admission/waiting_order.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Sorts jobs that wait in several queues.
class waiting_order_test : public testing::Test {
protected:
    waiting_order order_;
    time_point now_{100s};
    std::deque<ledger_job> jobs_;

    waiting_job job(const std::string& name, timeliness value, std::uint32_t priority,
                    milliseconds latest_start, bool has_started = false) {
        auto record = std::make_shared<open_job>();
        record->queue = "queue" + std::to_string(priority);
        record->plan.is_durable = false;
        ledger_job& added = jobs_.emplace_back();
        added.id = name;
        added.record = record;
        added.has_started = has_started;
        waiting_job result;
        result.job = &added;
        result.value = value;
        result.priority = priority;
        result.latest_start = now_ + latest_start;
        return result;
    }

    std::string sorted(std::vector<waiting_job> jobs) {
        order_.sort(jobs, now_);
        std::string names;
        for (const waiting_job& next : jobs)
            names += next.job->id;
        return names;
    }
};

// Guards against capacity for a job that is late anyway while another one can still end in time.
TEST_F(waiting_order_test, puts_timeliness_before_priority) {
    EXPECT_EQ(sorted({job("c", timeliness::too_late, 0, 1ms), job("b", timeliness::late, 0, 1ms),
                      job("a", timeliness::in_time, 2, 9ms)}),
              "abc");
}

// Guards against work that is lost because newer jobs pass a job that has started.
TEST_F(waiting_order_test, puts_started_jobs_first) {
    EXPECT_EQ(sorted({job("c", timeliness::late, 0, 1ms), job("b", timeliness::in_time, 0, 1ms),
                      job("a", timeliness::late, 2, 1ms, true)}),
              "abc");
}

// Guards against an order by arrival or by slack alone.
TEST_F(waiting_order_test, puts_priority_before_slack) {
    EXPECT_EQ(sorted({job("c", timeliness::in_time, 2, 1ms), job("b", timeliness::in_time, 1, 9ms),
                      job("a", timeliness::in_time, 1, 5ms)}),
              "abc");
}

// Guards against a queue of low priority that waits for ever while others get all capacity.
TEST_F(waiting_order_test, places_one_job_of_a_queue_that_was_passed_over) {
    const std::vector<waiting_job> jobs{job("a", timeliness::in_time, 0, 1ms),
                                        job("b", timeliness::in_time, 2, 1ms),
                                        job("c", timeliness::in_time, 2, 2ms)};
    EXPECT_EQ(sorted(jobs), "abc");
    for (int i = 0; i < 4; ++i) {
        now_ += waiting_order::max_queue_wait / 4;
        order_.record_start("queue0", now_);
    }
    EXPECT_EQ(sorted(jobs), "bac");
    order_.record_start("queue2", now_);
    EXPECT_EQ(sorted(jobs), "abc");
}

// Guards against a queue that counts as passed over because of a wait that has ended.
TEST_F(waiting_order_test, forgets_a_wait_that_has_ended) {
    const std::vector<waiting_job> jobs{job("a", timeliness::in_time, 0, 1ms),
                                        job("b", timeliness::in_time, 2, 1ms)};
    sorted(jobs);
    now_ += 2 * waiting_order::max_queue_wait;
    order_.clear();
    EXPECT_EQ(sorted(jobs), "ab");
}

// Guards against capacity for a job whose caller has no use for its end, because its queue was passed over.
TEST_F(waiting_order_test, prefers_no_useless_job_of_a_queue_that_was_passed_over) {
    const std::vector<waiting_job> jobs{job("a", timeliness::in_time, 0, 1ms),
                                        job("b", timeliness::too_late, 2, 1ms)};
    sorted(jobs);
    now_ += waiting_order::max_queue_wait;
    order_.record_start("queue0", now_);
    EXPECT_EQ(sorted(jobs), "ab");
}

// Drives the forecast of one service. A job takes 100 ms, ends in time within 200 ms and is useful for 600
// ms.
class capacity_forecast_test : public testing::Test {
protected:
    capacity_forecast forecast_;
    time_point now_{100s};

    // The entry's runs hold this many cores for a second, and work of two priorities arrives in this many
    // cores.
    void observe(double cores, double arriving_first, double arriving_second, std::size_t runs = 20) {
        forecast_.observe_run(1, 1);
        for (int i = 0; i < 100; ++i) {
            now_ += 10ms;
            forecast_.observe_held(1000 * cores, runs, now_);
            forecast_.record_arrival(0, 10 * arriving_first, now_);
            forecast_.record_arrival(1, 10 * arriving_second, now_);
        }
    }

    // Predicts the end of a job behind this many core-seconds.
    end_forecast predict(double in_time, double late, std::uint32_t priority = 1) const {
        job_target target;
        target.in_time = now_ + 200ms;
        target.useful_until = now_ + 600ms;
        target.chain_duration = 100ms;
        return forecast_.predict(target, priority, {1000 * in_time, 1000 * late}, now_);
    }
};

// Guards against admitting a job behind more work than its entry can do while the job is useful.
TEST_F(capacity_forecast_test, refuses_behind_a_long_queue) {
    observe(100, 20, 20);
    EXPECT_EQ(predict(0, 0).end, predicted_end::useful);
    EXPECT_EQ(predict(5, 5).end, predicted_end::useful);
    EXPECT_EQ(predict(20, 20).end, predicted_end::useful);
    EXPECT_EQ(predict(60, 60).end, predicted_end::too_late);
}

// Guards against a late job that waits while all capacity goes to jobs that can still end in time.
TEST_F(capacity_forecast_test, refuses_behind_a_queue_that_does_not_shrink) {
    observe(100, 70, 60);
    EXPECT_EQ(predict(5, 5, 0).end, predicted_end::useful);
    EXPECT_EQ(predict(10, 10, 1).end, predicted_end::not_shrinking);
}

// Guards against refusals by an entry whose few runs say nothing about the capacity that it can get.
TEST_F(capacity_forecast_test, knows_nothing_from_few_runs) {
    observe(10, 20, 20, 3);
    EXPECT_EQ(predict(60, 60).end, predicted_end::unknown);
}

// Guards against refusals before arrivals were observed.
TEST_F(capacity_forecast_test, knows_nothing_at_the_start) {
    forecast_.observe_run(1, 1);
    forecast_.observe_held(100000, 20, now_);
    EXPECT_EQ(predict(60, 60).end, predicted_end::unknown);
}

// Guards against a forecast that trusts callers' estimates: runs that take twice as long drain the queue at
// half the rate.
TEST_F(capacity_forecast_test, corrects_the_rate_by_measured_run_times) {
    observe(100, 10, 10);
    const double rate = *forecast_.work_rate();
    for (int i = 0; i < 500; ++i)
        forecast_.observe_run(1, 2);
    EXPECT_NEAR(*forecast_.work_rate(), rate / 2, rate * 0.02);
}

// Guards against a Retry-After that does not grow with the queue.
TEST_F(capacity_forecast_test, asks_callers_to_wait_longer_behind_a_longer_queue) {
    observe(100, 20, 20);
    const end_forecast shorter = predict(100, 100);
    const end_forecast longer = predict(300, 300);
    EXPECT_GT(shorter.retry_in, 0ms);
    EXPECT_GT(longer.retry_in, shorter.retry_in + 1s);
}

// Drives the admission of an entry with one full agent, 20 running tasks of one core and 1 s, and 200 waiting
// ones. A job has an objective of 1.66 s, so it is useful for 4.98 s; the queue takes 10 s.
class admission_control_test : public testing::Test {
protected:
    admission_control admission_{1};
    agent_directory agents_;
    job_ledger ledger_;
    run_time_model times_;
    deployment_config config_;
    time_point now_{100s};
    int last_job_ = 0;
    agent_view* agent_ = nullptr;

    admission_control_test() {
        queue_policy queue;
        queue.name = "queue";
        queue.service = "service";
        queue.max_stretch = 1.6;
        queue.slack = 60ms;
        config_.queues.push_back(queue);
        agent_ = &agents_.find_or_add("agent");
        agents_.connect(*agent_, 1);
        agent_->is_introduced = true;
        agent_->profile.accepts_runs = true;
        agent_->profile.backend.service = "service";
        ledger_job& running = add_job(20);
        for (task_index index = 0; index < 20; ++index) {
            ledger_task& task = running.occurrences[0].steps[0][index];
            task.run = 1;
            job_ledger::set_phase(running, task, task_phase::running);
            agent_->runs[{{running.id, 0, 0, index}, 1}] = 1;
        }
        admission_.observe_run(running, running.step(0), 1, 1);
        decide(1);
        for (int i = 0; i < 100; ++i)
            pass(10ms);
    }

    ledger_job& add_job(std::uint32_t tasks) {
        auto record = std::make_shared<open_job>();
        record->queue = "queue";
        record->service = "service";
        record->plan.is_durable = false;
        job_step step;
        step.task_count = tasks;
        step.task_needs = {1000, 1, 0};
        step.estimate_ms = 1000;
        record->plan.steps.push_back(step);
        ledger_job& job = ledger_.add("job" + std::to_string(++last_job_), record, {}, 0, now_);
        job.phase = job_phase::open;
        return job;
    }

    // The agent reports, and the entry observes its runs.
    void pass(milliseconds time, bool does_agent_report = true) {
        now_ += time;
        if (does_agent_report)
            agent_->last_reading_at = now_;
        admission_.observe(agents_, ledger_, now_);
    }

    // Decides on a job, which does not stay.
    admission_verdict decide(std::uint32_t tasks = 1) {
        const job_id id = add_job(tasks).id;
        const admission_verdict verdict =
            admission_.decide(*ledger_.find(id), agents_, ledger_, times_, config_, now_);
        ledger_.erase(id);
        return verdict;
    }

    // The first refusable job of a queue is admitted against the forecast.
    void take_probe() { EXPECT_TRUE(decide().is_against_forecast); }
};

// Guards against a job that waits although the queue ahead of it takes longer than the job is useful.
TEST_F(admission_control_test, refuses_behind_a_long_queue) {
    EXPECT_TRUE(decide().is_admitted);
    add_job(200);
    take_probe();
    const admission_verdict verdict = decide();
    EXPECT_FALSE(verdict.is_admitted);
    EXPECT_GE(verdict.retry_after, 1s);
    EXPECT_EQ(verdict.retry_after % 1s, 0ms);
}

// Guards against a refusal while a backend server has free capacity.
TEST_F(admission_control_test, admits_a_job_that_fits) {
    add_job(200);
    take_probe();
    agent_->reported_capacity.free = {1000, 1, 0};
    EXPECT_TRUE(decide().is_admitted);
}

// Guards against admission by free capacity that a silent agent reported long ago.
TEST_F(admission_control_test, counts_a_silent_agent_as_full) {
    agent_view& silent = agents_.find_or_add("silent");
    agents_.connect(silent, 2);
    silent.is_introduced = true;
    silent.profile = agent_->profile;
    silent.reported_capacity.free = {1000, 1, 0};
    silent.last_reading_at = now_;
    add_job(200);
    EXPECT_FALSE(decide().is_against_forecast);
    pass(301ms);
    take_probe();
    EXPECT_FALSE(decide().is_admitted);
}

// Guards against refusals by an entry that has no current report of any agent.
TEST_F(admission_control_test, refuses_nothing_without_reports) {
    add_job(200);
    take_probe();
    EXPECT_FALSE(decide().is_admitted);
    pass(301ms, false);
    EXPECT_TRUE(decide().is_admitted);
    EXPECT_EQ(decide().end, predicted_end::unknown);
}

// Guards against a wrong forecast that refuses every job for good: if the jobs that are admitted against it
// end in time, there are more and more of them.
TEST_F(admission_control_test, admits_more_jobs_against_a_wrong_forecast) {
    ledger_job& queue = add_job(200);
    const auto count_probes = [&](bool is_useful) {
        int probes = 0;
        for (int i = 0; i < 100; ++i) {
            pass(10ms);
            // The queue stays as long, and its jobs useful.
            queue.accepted = now_;
            const job_id id = "job" + std::to_string(last_job_ + 1);
            if (decide().is_admitted) {
                ++probes;
                admission_.record_end(id, is_useful);
            }
        }
        return probes;
    };
    EXPECT_LE(count_probes(false), 3);
    count_probes(true);
    EXPECT_GE(count_probes(true), 20);
    count_probes(false);
    EXPECT_LE(count_probes(false), 3);
}

} // namespace
} // namespace persimmonstile
