#include "tests/scheduler_simulation.h"

#include <cstdint>
#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Simulates 11 backend servers and 3 entries at 70% load; each test injects a fault.
struct scheduler_fault_test : testing::Test {
    scheduler_fault_test() { load.work_per_second = 0.7 * capacity_of(eleven_agents()); }

    void start() { simulation.submit_all(make_trace(load)); }
    void run_for(std::chrono::milliseconds time) { simulation.run_until(simulation.now + time); }
    void finish() { simulation.run_until(begin + load.duration + load.deadline); }

    // Jobs that were admitted but did not complete.
    int incomplete_jobs() const {
        int jobs = 0;
        for (const simulated_outcome& outcome : simulation.outcomes)
            jobs += !outcome.response && !outcome.refused ? 1 : 0;
        return jobs;
    }
    int refused() const {
        int jobs = 0;
        for (const simulated_outcome& outcome : simulation.outcomes)
            jobs += outcome.refused ? 1 : 0;
        return jobs;
    }
    std::uint32_t received(const std::string& zone) const {
        std::uint32_t tasks = 0;
        for (const simulated_agent& agent : simulation.agents)
            tasks += agent.zone == zone ? agent.received : 0;
        return tasks;
    }

    workload load;
    scheduler_simulation<> simulation{eleven_agents(), 3, simulated_fleet()};
    time_point begin = simulation.now;
};

// Guards against a backend server that fails every task quickly and so attracts most of the work, because
// it always has free slots.
TEST_F(scheduler_fault_test, backend_server_with_fast_failures_is_ejected_and_readmitted) {
    start();
    run_for(10s);
    simulated_agent& defective = simulation.agents[10];
    defective.fails = true;
    const std::uint32_t before = defective.received;
    const std::uint64_t sent_before = simulation.tasks_sent;
    run_for(20s);
    const std::uint32_t while_failing = defective.received - before;
    EXPECT_GE(while_failing, 3U);
    EXPECT_LE(while_failing, (simulation.tasks_sent - sent_before) / 100);
    defective.fails = false;
    const std::uint32_t received_before_repair = defective.received;
    run_for(20s);
    EXPECT_GT(defective.received, received_before_repair + 100);
    finish();
    // A failed task fails at most its own job.
    EXPECT_LE(incomplete_jobs(), static_cast<int>(while_failing) + 3);
}

// Guards against sending ever more tasks to a backend server that accepts them and never answers.
TEST_F(scheduler_fault_test, unresponsive_backend_server_receives_few_tasks) {
    start();
    run_for(10s);
    simulation.agents[10].hangs = true;
    const std::uint32_t before = simulation.agents[10].received;
    finish();
    // Each entry loses at most the tasks in the 8 slots, one prefetched task and 3 probes.
    EXPECT_LE(simulation.agents[10].received - before, 3 * (9 + 3));
    EXPECT_LE(incomplete_jobs(), 3 * (9 + 3));
    EXPECT_EQ(refused(), 0);
}

// Guards against a backend server that becomes 20 times slower and delays every job with a task on it.
TEST_F(scheduler_fault_test, slowed_backend_server_is_avoided_and_readmitted) {
    start();
    run_for(10s);
    simulation.agents[10].speed /= 20;
    run_for(10s);
    const std::uint32_t before = simulation.agents[10].received;
    run_for(10s);
    EXPECT_LE(simulation.agents[10].received - before, 15U);
    simulation.agents[10].speed *= 20;
    run_for(10s);
    const std::uint32_t received_before_repair = simulation.agents[10].received;
    run_for(15s);
    EXPECT_GT(simulation.agents[10].received, received_before_repair + 100);
    finish();
    EXPECT_LE(incomplete_jobs() + refused(), 10);
}

// Guards against ejecting the last backend servers when all of them fail.
TEST_F(scheduler_fault_test, never_ejects_all_backend_servers) {
    for (simulated_agent& agent : simulation.agents)
        agent.fails = true;
    start();
    run_for(30s);
    const std::uint64_t before = simulation.tasks_sent;
    run_for(1s);
    EXPECT_GT(simulation.tasks_sent, before + 10);
}

// Guards against tasks in an availability zone that is out of service, and against a burst of tasks on its
// idle backend servers when it returns.
TEST_F(scheduler_fault_test, excluded_zone_gets_no_tasks_and_returns_without_a_burst) {
    load.work_per_second = 0.6 * capacity_of(eleven_agents());
    start();
    run_for(15s);
    simulation.fleet.zones_out.insert("south");
    simulation.publish();
    run_for(10ms);
    const std::uint32_t received_before_outage = received("south");
    run_for(15s);
    EXPECT_EQ(received("south"), received_before_outage);
    simulation.fleet.zones_out.clear();
    simulation.publish();
    run_for(20ms);
    // At most one task from each of the 3 entries for each of the 3 backend servers.
    EXPECT_LE(received("south") - received_before_outage, 9U);
    run_for(15s);
    EXPECT_GT(received("south") - received_before_outage, 100U);
    finish();
    EXPECT_LE(incomplete_jobs(), 3);
}

// Guards against a burst of 20 times the capacity that makes earlier or later jobs miss their deadlines.
TEST_F(scheduler_fault_test, overload_burst_is_refused_or_completed_and_later_jobs_complete) {
    auto trace = make_trace(load);
    workload burst = load;
    burst.work_per_second = 20 * capacity_of(eleven_agents());
    burst.duration = 2s;
    burst.seed = 2;
    for (simulated_job& job : make_trace(burst)) {
        job.arrival += 20s;
        trace.push_back(std::move(job));
    }
    simulation.submit_all(trace);
    finish();
    int timed_out_jobs = 0;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const simulated_outcome& outcome = simulation.outcomes[i];
        timed_out_jobs += !outcome.response && !outcome.refused ? 1 : 0;
        if (outcome.refused) {
            EXPECT_EQ(outcome.refused->reason, failure_reason::not_run);
            EXPECT_TRUE(outcome.refused->is_at_capacity);
            EXPECT_GE(outcome.refused->retry_after_ms, 100);
        }
        if (trace[i].arrival >= begin + 40s) {
            EXPECT_TRUE(outcome.response) << i;
        }
    }
    EXPECT_GT(refused(), 0);
    EXPECT_LE(timed_out_jobs, static_cast<int>(trace.size() / 50));
}

// Guards against an agent that announces ten times its real slots: it refuses the excess tasks, and their
// messages are wasted.
TEST(scheduler_fault, tenfold_announced_slots_waste_few_messages) {
    auto agents = eleven_agents();
    agents[5].announced_slots = 80;
    workload load;
    load.work_per_second = 0.7 * capacity_of(agents);
    scheduler_simulation<> simulation{agents, load.entries, simulated_fleet()};
    const time_point begin = simulation.now;
    simulation.submit_all(make_trace(load));
    simulation.run_until(begin + load.duration + load.deadline);
    EXPECT_LE(static_cast<double>(simulation.wasted_messages),
              0.02 * static_cast<double>(simulation.tasks_sent));
    for (const simulated_outcome& outcome : simulation.outcomes)
        EXPECT_TRUE(outcome.response);
}

// Guards against a team that offers ten times its share of the load and takes the capacity of other teams.
TEST(scheduler_fault, one_overloading_team_of_670_does_not_starve_the_others) {
    constexpr std::uint32_t teams = 670;
    constexpr double seconds = 40;
    std::vector<simulated_agent> agents(11);
    const double tasks_per_team = capacity_of(agents) / 0.1 * seconds / teams;
    std::mt19937_64 random{1};
    std::vector<simulated_job> trace;
    for (std::uint32_t team = 0; team < teams; ++team) {
        const int jobs = static_cast<int>(tasks_per_team * (team == 0 ? 10 : 1) / 4);
        for (int i = 0; i < jobs; ++i) {
            simulated_job job;
            job.arrival = time_point{1000s} + std::chrono::milliseconds{random() % 40000};
            job.spec = {"form", "team-" + std::to_string(team), "", std::vector<std::string>(4), 10000, ""};
            job.work.assign(4, 0.1);
            trace.push_back(std::move(job));
        }
    }
    scheduler_simulation<> simulation{agents, 1, simulated_fleet(teams)};
    simulation.submit_all(trace);
    simulation.run_until(simulation.now + 50s);
    std::size_t others = 0;
    std::size_t completed = 0;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        if (trace[i].spec.team == "team-0")
            continue;
        ++others;
        completed += simulation.outcomes[i].response ? 1 : 0;
    }
    EXPECT_GE(static_cast<double>(completed), 0.95 * static_cast<double>(others));
}

// Guards against cancellations that slow down other jobs. The test cancels 10,000 waiting jobs within one
// second.
TEST(scheduler_fault, mass_cancellation_does_not_slow_other_jobs) {
    const auto response_p99 = [](bool cancelled) {
        workload load;
        load.duration = 10s;
        load.work_per_second = 0.4 * capacity_of(eleven_agents());
        load.entries = 1;
        scheduler_simulation<> simulation{eleven_agents(), 1, simulated_fleet(2)};
        const time_point begin = simulation.now;
        job_spec other{"form", "team-1", "", {"", ""}, 60000, ""};
        simulation.submit_all(make_trace(load));
        for (int i = 0; cancelled && i < 10000; ++i) {
            const std::string name = "cancelled-" + std::to_string(i);
            simulation.schedule(begin + 2s + i * 100us, [&simulation, other, name] {
                simulation.schedulers[0].admit(name, other, simulation.now + 60s, simulation.now);
                simulation.schedulers[0].withdraw(name);
            });
        }
        simulation.run_until(begin + 20s);
        std::vector<double> responses;
        for (const simulated_outcome& outcome : simulation.outcomes)
            responses.push_back(outcome.response.value_or(1000));
        EXPECT_EQ(simulation.schedulers[0].waiting_tasks(), 0U);
        return quantile(responses, 0.99);
    };
    EXPECT_LE(response_p99(true), 1.1 * response_p99(false));
}

} // namespace
} // namespace persimmonstile
