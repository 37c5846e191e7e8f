#include "coordination/scheduler.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

const std::string service_name = "form";

// A scheduler with one service and teams a and b; the test plays agents, callers and clock.
struct scheduler_test : testing::Test {
    scheduler_test() {
        fleet.services[service_name];
        fleet.teams["a"];
        fleet.teams["b"];
        publish();
    }

    void publish() { tested_scheduler.set_fleet(std::make_shared<const fleet_view>(fleet), now); }

    void connect(std::uint64_t number, std::uint32_t slots, const std::string& zone = "north") {
        agent_status status;
        status.agent = agent(number);
        status.zone = zone;
        status.services = {{service_name, slots}};
        tested_scheduler.agent_changed(status, now);
    }

    static incarnation agent(std::uint64_t number) { return {"agent-" + std::to_string(number), number}; }

    static job_spec make_job(std::size_t tasks, const std::string& team = "a") {
        job_spec spec;
        spec.service = service_name;
        spec.team = team;
        spec.tasks.resize(tasks);
        return spec;
    }

    static job_spec make_request(const std::string& team = "a") {
        job_spec spec = make_job(1, team);
        spec.method = "lookup";
        return spec;
    }

    std::optional<job_failed> admit(const job_id& job, const job_spec& spec,
                                    std::chrono::milliseconds time_limit = 60s) {
        return tested_scheduler.admit(job, spec, now + time_limit, now);
    }

    void report(const assignment& done, task_index index, task_status status,
                std::chrono::microseconds run_time = 100ms, refusal reason = refusal::none) {
        task_report sent;
        sent.index = index;
        sent.status = status;
        sent.reason = reason;
        sent.run_us = run_time.count();
        tested_scheduler.task_returned(done.agent, done.job, sent, now);
    }

    void succeed(const std::vector<assignment>& assignments, std::chrono::microseconds run_time = 100ms) {
        for (const assignment& each : assignments) {
            for (const task_index index : each.tasks)
                report(each, index, task_status::succeeded, run_time);
        }
    }

    static std::size_t count(const std::vector<assignment>& assignments) {
        std::size_t tasks = 0;
        for (const assignment& each : assignments)
            tasks += each.tasks.size();
        return tasks;
    }

    time_point now{1000s};
    fleet_view fleet;
    scheduler tested_scheduler;
};

// Guards against a task that is sent twice or is lost between the queue and the assignments.
TEST_F(scheduler_test, assigns_each_task_once) {
    connect(1, 8);
    connect(2, 8);
    ASSERT_FALSE(admit("job", make_job(100)));
    std::set<task_index> seen;
    for (int round = 0; round < 100 && seen.size() < 100; ++round) {
        const auto assignments = tested_scheduler.take_assignments(now);
        for (const assignment& each : assignments) {
            for (const task_index index : each.tasks)
                EXPECT_TRUE(seen.insert(index).second) << index;
        }
        now += 100ms;
        succeed(assignments);
    }
    EXPECT_EQ(seen.size(), 100U);
    EXPECT_EQ(tested_scheduler.waiting_tasks(), 0U);
}

// Guards against early binding: tasks that queue at one agent wait there if it turns out to be slow,
// although another agent could run them.
TEST_F(scheduler_test, keeps_at_most_slots_and_prefetch_outstanding) {
    connect(1, 8);
    admit("job", make_job(100));
    EXPECT_LE(count(tested_scheduler.take_assignments(now)), 9U);
    EXPECT_GE(tested_scheduler.waiting_tasks(), 91U);
    EXPECT_TRUE(tested_scheduler.take_assignments(now).empty());
}

// Guards against more than one message to an agent for the same job.
TEST_F(scheduler_test, batches_the_tasks_of_a_job_for_an_agent) {
    connect(1, 8);
    connect(2, 8);
    admit("job", make_job(16));
    std::set<std::pair<job_id, incarnation>> seen;
    for (const assignment& each : tested_scheduler.take_assignments(now))
        EXPECT_TRUE(seen.emplace(each.job, each.agent).second);
}

// Guards against a task report that is sent again after a reconnect and frees a second slot.
TEST_F(scheduler_test, ignores_a_repeated_report) {
    connect(1, 1);
    admit("job", make_job(10));
    // The first success widens the window of tasks in flight at a new agent.
    succeed(tested_scheduler.take_assignments(now));
    const auto first = tested_scheduler.take_assignments(now);
    ASSERT_EQ(count(first), 2U);
    report(first[0], first[0].tasks[0], task_status::succeeded);
    const std::size_t freed = count(tested_scheduler.take_assignments(now));
    report(first[0], first[0].tasks[0], task_status::succeeded);
    EXPECT_EQ(freed, 1U);
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 0U);
}

// Guards against overloading an agent whose slots are already used by other entries.
TEST_F(scheduler_test, leaves_slots_for_the_tasks_of_other_entries) {
    tested_scheduler.set_entry_count(2);
    connect(1, 8);
    tested_scheduler.load_reported(agent(1), service_name, {8, 8, 0}, now);
    admit("job", make_job(100));
    EXPECT_LE(count(tested_scheduler.take_assignments(now)), 4U);
}

// Guards against a retry loop with an agent that refuses every task.
TEST_F(scheduler_test, backs_off_from_an_agent_that_refuses) {
    connect(1, 8);
    admit("job", make_job(1));
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        for (const assignment& each : tested_scheduler.take_assignments(now)) {
            ++sent;
            report(each, 0, task_status::not_started, 0us, refusal::queue_full);
            tested_scheduler.requeue("job", make_job(1), {0}, now + 60s, now);
        }
        now += 1ms;
    }
    EXPECT_GE(sent, 3);
    EXPECT_LE(sent, 12);
}

// Guards against tasks that stay in the queue forever: the backoff of their agent has ended, but no event
// triggers new assignments.
TEST_F(scheduler_test, next_wakeup_is_the_end_of_a_refusal_backoff) {
    connect(1, 1);
    admit("job", make_job(1));
    report(tested_scheduler.take_assignments(now).at(0), 0, task_status::not_started, 0us,
           refusal::queue_full);
    tested_scheduler.requeue("job", make_job(1), {0}, now + 60s, now);
    ASSERT_TRUE(tested_scheduler.take_assignments(now).empty());
    ASSERT_TRUE(tested_scheduler.next_wakeup());
    now = *tested_scheduler.next_wakeup();
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 1U);
}

// Guards against tasks of ended jobs that still take slots, and against dropping the tasks of another job.
TEST_F(scheduler_test, withdraw_drops_only_the_waiting_tasks_of_the_job) {
    connect(1, 1);
    admit("a", make_job(10));
    admit("b", make_job(3));
    tested_scheduler.withdraw("a");
    EXPECT_EQ(tested_scheduler.waiting_tasks(), 3U);
    for (const assignment& each : tested_scheduler.take_assignments(now))
        EXPECT_EQ(each.job, "b");
}

// Guards against tasks of a lost agent that count against max_running of their team forever.
TEST_F(scheduler_test, losing_an_agent_frees_the_running_count_of_its_team) {
    fleet.teams["a"].max_running = 2;
    publish();
    connect(1, 8);
    admit("job", make_job(10));
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 2U);
    tested_scheduler.agent_gone(agent(1), now);
    connect(2, 8);
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 2U);
}

// Guards against assigning tasks to an agent that is unreachable or draining, or whose availability zone is
// out of service.
TEST_F(scheduler_test, sends_nothing_to_disconnected_draining_or_excluded_agents) {
    connect(1, 8, "north");
    connect(2, 8, "south");
    admit("job", make_job(4));
    tested_scheduler.agent_disconnected(agent(1), now);
    fleet.zones_out.insert("south");
    publish();
    EXPECT_TRUE(tested_scheduler.take_assignments(now).empty());
    agent_status status{agent(1), "north", "", true, 0, {{service_name, 8}}};
    tested_scheduler.agent_changed(status, now);
    EXPECT_TRUE(tested_scheduler.take_assignments(now).empty());
    status.draining = false;
    tested_scheduler.agent_changed(status, now);
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 4U);
}

// Guards against a request that waits until all tasks of a long job of its team have run.
TEST_F(scheduler_test, requests_overtake_the_jobs_of_their_team) {
    connect(1, 1);
    admit("long", make_job(500));
    auto running = tested_scheduler.take_assignments(now);
    admit("short", make_request());
    now += 100ms;
    succeed({running.at(0)});
    bool sent = false;
    for (const assignment& each : tested_scheduler.take_assignments(now))
        sent = sent || each.job == "short";
    EXPECT_TRUE(sent);
}

// Guards against jobs that make no progress while their team sends requests continuously.
TEST_F(scheduler_test, requests_do_not_starve_jobs) {
    connect(1, 1);
    admit("long", make_job(500));
    int job_tasks = 0;
    for (int i = 0; i < 100; ++i) {
        admit("request-" + std::to_string(2 * i), make_request());
        admit("request-" + std::to_string(2 * i + 1), make_request());
        const auto assignments = tested_scheduler.take_assignments(now);
        for (const assignment& each : assignments)
            job_tasks += each.job == "long" ? 1 : 0;
        now += 100ms;
        succeed(assignments);
    }
    EXPECT_GE(job_tasks, 15);
}

// Guards against dividing capacity by the number of jobs of each team instead of by its share.
TEST_F(scheduler_test, teams_run_tasks_in_proportion_to_their_shares) {
    fleet.teams["a"].share = 3;
    publish();
    connect(1, 8);
    for (int i = 0; i < 10; ++i)
        admit("b-" + std::to_string(i), make_job(100, "b"));
    admit("a", make_job(500, "a"));
    std::map<std::string, int> tasks;
    for (int round = 0; round < 50; ++round) {
        const auto assignments = tested_scheduler.take_assignments(now);
        for (const assignment& each : assignments)
            tasks[each.job.substr(0, 1)] += static_cast<int>(each.tasks.size());
        now += 100ms;
        succeed(assignments);
    }
    EXPECT_NEAR(tasks["a"], 3 * tasks["b"], 30);
}

// Guards against callers that retry a job that can never run, or that take the refusal for a lack of
// capacity.
TEST_F(scheduler_test, refuses_jobs_that_can_never_run_without_retry) {
    connect(1, 8);
    fleet.services[service_name].max_tasks = 100;
    publish();
    job_spec unknown_service = make_job(1);
    unknown_service.service = "other";
    for (const job_spec& spec : {unknown_service, make_job(1, "nobody"), make_job(101)}) {
        const auto refused = admit("job", spec);
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->reason, failure_reason::not_run);
        EXPECT_EQ(refused->retry_after_ms, 0);
        EXPECT_FALSE(refused->is_at_capacity);
    }
    EXPECT_EQ(tested_scheduler.waiting_tasks(), 0U);
}

// Guards against a new entry that refuses jobs with a long retry delay although its agents are about to
// connect.
TEST_F(scheduler_test, distinguishes_agents_not_yet_connected_from_agents_that_left) {
    const auto early = admit("job", make_job(1));
    ASSERT_TRUE(early);
    connect(1, 8);
    EXPECT_FALSE(admit("job", make_job(1)));
    tested_scheduler.agent_gone(agent(1), now);
    const auto late = admit("job-2", make_job(1));
    ASSERT_TRUE(late);
    EXPECT_FALSE(early->is_at_capacity || late->is_at_capacity);
    EXPECT_GT(early->retry_after_ms, 0);
    EXPECT_GT(late->retry_after_ms, early->retry_after_ms);
}

// Guards against an unbounded queue, and against one team that fills the whole queue.
TEST_F(scheduler_test, limits_the_queue_and_the_fraction_of_a_team) {
    fleet.services[service_name].queue_limit = 1000;
    publish();
    connect(1, 1);
    std::optional<job_failed> refused;
    for (int i = 0; i < 100 && !refused; ++i)
        refused = admit("a-" + std::to_string(i), make_job(50));
    ASSERT_TRUE(refused);
    EXPECT_TRUE(refused->is_at_capacity);
    EXPECT_GT(refused->retry_after_ms, 0);
    EXPECT_LE(tested_scheduler.waiting_tasks(), 800U);
    EXPECT_FALSE(admit("b", make_job(150, "b")));
    EXPECT_TRUE(admit("b-2", make_job(150, "b")));
}

// A scheduler that has already observed the run times of its only agent.
struct deadline_test : scheduler_test {
    // 8 slots and tasks of 1 s give a capacity of 8 tasks per second.
    deadline_test() {
        connect(1, 8);
        admit("first", make_job(32));
        for (int i = 0; i < 10; ++i) {
            now += 1s;
            succeed(tested_scheduler.take_assignments(now), 1s);
        }
    }
};

// Guards against admitting jobs that will miss their deadline, and against refusing jobs that will meet it.
TEST_F(deadline_test, refuses_jobs_that_cannot_meet_their_deadline) {
    ASSERT_FALSE(admit("backlog", make_job(160)));
    const auto refused = admit("late", make_job(160), 25s);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, failure_reason::not_run);
    EXPECT_TRUE(refused->is_at_capacity);
    EXPECT_GT(refused->retry_after_ms, 1000);
    EXPECT_FALSE(admit("patient", make_job(160), 60s));
    EXPECT_FALSE(admit("short", make_request(), 3s));
}

// Guards against permanent refusal on the basis of an estimate: if no such job is admitted, no later run
// time can correct the estimate.
TEST_F(deadline_test, deadline_below_the_run_time_is_no_lack_of_capacity_and_is_rechecked) {
    admit("recent", make_job(1));
    const auto refused = admit("job", make_job(80), 5s);
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->is_at_capacity);
    now += 2s;
    EXPECT_FALSE(admit("job", make_job(80), 5s));
}

// Guards against assigning tasks of a job whose deadline has passed or can no longer be met.
TEST_F(deadline_test, sends_no_tasks_of_jobs_that_cannot_meet_their_deadline) {
    admit("blocker", make_job(9));
    const auto running = tested_scheduler.take_assignments(now);
    ASSERT_FALSE(admit("job", make_job(80), 60s));
    now += 55s;
    succeed(running, 1s);
    EXPECT_TRUE(tested_scheduler.take_assignments(now).empty());
    tested_scheduler.withdraw("job");
    EXPECT_EQ(tested_scheduler.waiting_tasks(), 0U);
}

// Guards against dropping jobs because capacity was missing for a short time.
TEST_F(deadline_test, resumes_jobs_when_capacity_returns) {
    connect(2, 32);
    ASSERT_FALSE(admit("job", make_job(100), 20s));
    tested_scheduler.agent_disconnected(agent(1), now);
    tested_scheduler.agent_disconnected(agent(2), now);
    EXPECT_TRUE(tested_scheduler.take_assignments(now).empty());
    connect(1, 8);
    now += 11s;
    // In the remaining 9 s, 8 slots cannot complete 100 tasks of 1 s; 40 slots can.
    EXPECT_TRUE(tested_scheduler.take_assignments(now).empty());
    connect(2, 32);
    ASSERT_TRUE(tested_scheduler.next_wakeup());
    now = std::max(now, *tested_scheduler.next_wakeup());
    EXPECT_GE(count(tested_scheduler.take_assignments(now)), 16U);
}

// Guards against a job that is never queued because a withdrawn job with the same id still has an
// unreported task.
TEST_F(scheduler_test, admits_the_id_of_a_withdrawn_job_again) {
    connect(1, 8);
    admit("job", make_job(2));
    ASSERT_EQ(count(tested_scheduler.take_assignments(now)), 2U);
    tested_scheduler.withdraw("job");
    ASSERT_FALSE(admit("job", make_job(2)));
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 2U);
}

// Guards against a quota that each entry applies in full, so that the cell exceeds it several times over.
TEST_F(scheduler_test, each_entry_enforces_its_fraction_of_a_quota) {
    fleet.teams["a"].max_running = 6;
    publish();
    tested_scheduler.set_entry_count(3);
    for (std::uint64_t i = 1; i <= 5; ++i)
        connect(i, 8);
    admit("job", make_job(100));
    EXPECT_EQ(count(tested_scheduler.take_assignments(now)), 2U);
}

// Guards against retries that multiply the messages of an overloaded system. Beyond a small reserve,
// retries may add at most 10% to the load.
TEST_F(scheduler_test, retries_stay_within_the_budget) {
    for (std::uint64_t i = 1; i <= 100; ++i)
        connect(i, 8);
    int sent = 0;
    int refused = 0;
    for (int round = 0; round < 200; ++round) {
        const job_id fresh = "job-" + std::to_string(round);
        admit(fresh, make_job(10));
        for (const assignment& each : tested_scheduler.take_assignments(now)) {
            for (const task_index index : each.tasks) {
                ++sent;
                const bool refuse = sent % 2 == 0;
                refused += refuse ? 1 : 0;
                report(each, index, refuse ? task_status::not_started : task_status::succeeded, 100ms,
                       refuse ? refusal::queue_full : refusal::none);
                if (refuse)
                    tested_scheduler.requeue(each.job, make_job(10), {index}, now + 60s, now);
            }
        }
        now += 10ms;
    }
    const int first_time = 200 * 10;
    EXPECT_GE(sent, first_time);
    // The retry budget: a reserve of 20, 10% of the tasks sent, and 2 per second.
    EXPECT_LE(sent - first_time, 20 + sent / 10 + 4 + 1);
    EXPECT_GT(refused, 500);
}

// Guards against a delayed retry that is never sent because no other event triggers new assignments.
TEST_F(scheduler_test, next_wakeup_is_the_time_of_the_next_retry) {
    connect(1, 1);
    admit("job", make_job(1));
    for (int i = 0; i < 60; ++i) {
        const auto assignments = tested_scheduler.take_assignments(now);
        if (!assignments.empty()) {
            report(assignments[0], 0, task_status::not_started, 0us, refusal::queue_full);
            tested_scheduler.requeue("job", make_job(1), {0}, now + 60s, now);
        }
        ASSERT_TRUE(tested_scheduler.next_wakeup());
        ASSERT_GT(*tested_scheduler.next_wakeup(), now);
        now = *tested_scheduler.next_wakeup();
    }
    EXPECT_EQ(tested_scheduler.waiting_tasks(), 1U);
}

} // namespace
} // namespace persimmonstile
