#include "tests/load_simulation.h"

#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// The users' target under faults and load: nine callers of ten get their whole answer in time.
constexpr double target_in_time_fraction = 0.9;

// When a burst exceeds capacity, at most one caller of a hundred may get no answer that tells the outcome of
// the job.
constexpr double max_unanswered_fraction = 0.01;

// The three kinds of job at the sites: short ones are field checks or bale counts, long ones document builds
// or pickups, common ones lookups.
std::vector<load_class> normal_classes(double scale, std::int64_t millicores) {
    return {{"short", 34.4 * scale, 8, 60ms, millicores, 0},
            {"long", 6.25 * scale, 4, 900ms, millicores, 2},
            {"common", 100 * scale, 2, 200ms, millicores, 1}};
}

// 3 entries and 11 backend servers, 140 jobs a second.
load_simulation::options small_site(std::uint64_t seed) {
    load_simulation::options options;
    options.seed = seed;
    options.classes = normal_classes(1, 3100);
    return options;
}

// 9 entries and 58 backend servers, 840 jobs a second.
load_simulation::options large_site(std::uint64_t seed) {
    load_simulation::options options;
    options.seed = seed;
    options.classes = normal_classes(6, 2800);
    options.entries = 9;
    options.agents = 58;
    options.duration = 4000ms;
    options.burst_begin = 1000ms;
    options.burst_end = 3000ms;
    return options;
}

// 55 entries and 240 backend servers, 1,266 jobs a second. A message and its answer take an entry about 53 us
// of a full core, of which the smallest entries have 0.09.
load_simulation::options fleet_site(std::uint64_t seed) {
    load_simulation::options options;
    options.seed = seed;
    options.classes = normal_classes(9, 7600);
    options.entries = 55;
    options.agents = 240;
    options.entry_cost = 600us;
    options.duration = 3000ms;
    options.burst_begin = 1000ms;
    options.burst_end = 2000ms;
    return options;
}

// Runs the simulation and checks that every kind of job meets the target and that no capacity is exceeded.
void expect_in_time(load_simulation& simulation) {
    for (const auto& [queue, outcome] : simulation.run())
        EXPECT_GE(outcome.in_time_fraction(), target_in_time_fraction)
            << queue << ": " << outcome.jobs << " jobs, late " << outcome.late << ", too late "
            << outcome.too_late << ", refused " << outcome.refused << ", unanswered " << outcome.unanswered;
    EXPECT_TRUE(simulation.is_capacity_respected());
}

// Guards against placement that makes callers wait while backend servers have free capacity.
TEST(load_simulation, normal_traffic_is_served_in_time) {
    load_simulation small{small_site(1)};
    expect_in_time(small);
    load_simulation large{large_site(1)};
    expect_in_time(large);
}

// Guards against work of an entry that grows with the number of agents and leaves its processor no time for
// its callers.
TEST(load_simulation, normal_traffic_of_a_large_fleet_is_served_in_time) {
    load_simulation fleet{fleet_site(1)};
    expect_in_time(fleet);
}

// Guards against entries that compete for the same free capacity during a burst of 1.5 times the normal
// traffic, which lasts for a third to a half of the run.
TEST(load_simulation, a_burst_below_capacity_is_served_in_time) {
    load_simulation::options burst_options = small_site(2);
    burst_options.burst = 1.5;
    load_simulation small{burst_options};
    expect_in_time(small);
    burst_options = large_site(2);
    burst_options.burst = 1.5;
    load_simulation large{burst_options};
    expect_in_time(large);
}

// Guards against unanswered orders that delay the tasks queued after them. One order in twenty gets no answer
// and is executed seconds later; this must not make the callers of other tasks late.
TEST(load_simulation, unanswered_orders_delay_few_callers) {
    load_simulation::options options = small_site(3);
    options.late_order_fraction = 0.05;
    load_simulation small{options};
    expect_in_time(small);
    options = large_site(3);
    options.late_order_fraction = 0.05;
    load_simulation large{options};
    expect_in_time(large);
}

// Guards against updates of free capacity that make all entries compete for each slot that becomes free, and
// against an agent whose messages grow with the number of entries. With less frequent updates, at least as
// many jobs are in time, with a third fewer messages.
TEST(load_simulation, infrequent_capacity_updates_serve_as_many_jobs_in_time) {
    load_simulation::options options = large_site(5);
    options.burst = 2;
    load_simulation infrequent{options};
    infrequent.run();
    options.agent_settings.min_capacity_report_interval = 20ms;
    options.agent_settings.capacity_report_interval_per_entry = 0ms;
    load_simulation frequent{options};
    frequent.run();
    EXPECT_GE(infrequent.total().in_time, frequent.total().in_time);
    EXPECT_LE(3 * infrequent.messages(), 2 * frequent.messages());
}

// Guards against short jobs that wait at a full backend server until they are late. If the agent returns them
// earlier, more of them end in time on other servers.
TEST(load_simulation, a_short_queue_timeout_serves_more_short_jobs_in_time) {
    std::size_t after_short_wait = 0;
    std::size_t after_long_wait = 0;
    for (const std::uint64_t seed : {6, 7, 8}) {
        load_simulation::options options = small_site(seed);
        options.burst = 1.4;
        load_simulation short_wait{options};
        after_short_wait += short_wait.run().at("short").in_time;
        options.agent_settings.queue_timeout = 2 * options.agent_settings.queue_timeout;
        load_simulation long_wait{options};
        after_long_wait += long_wait.run().at("short").in_time;
    }
    EXPECT_GT(after_short_wait, after_long_wait);
}

// A burst of three times the normal traffic, which exceeds the capacity of all backend servers together.
load_simulation::options overload(std::uint64_t seed) {
    load_simulation::options options = small_site(seed);
    options.burst = 3;
    return options;
}

// Guards against callers that wait for an answer until their deadline, and against jobs that start and are
// then overtaken by others until their callers have left.
TEST(load_simulation, overload_leaves_few_callers_without_an_outcome) {
    load_simulation simulation{overload(4)};
    for (const auto& [queue, outcome] : simulation.run()) {
        const auto unanswered_fraction =
            static_cast<double>(outcome.unanswered) / static_cast<double>(outcome.jobs);
        EXPECT_LE(unanswered_fraction, max_unanswered_fraction) << queue;
    }
    EXPECT_GT(simulation.total().refused, 0U);
    EXPECT_TRUE(simulation.is_capacity_respected());
}

// Guards against refusals that come too late for the caller to react. All free capacity goes to jobs that can
// be in time, and the others must be refused within their objective.
TEST(load_simulation, overload_refusals_come_within_the_objective) {
    std::size_t refused = 0;
    std::size_t refused_in_time = 0;
    for (const std::uint64_t seed : {4, 5, 6}) {
        load_simulation simulation{overload(seed)};
        simulation.run();
        refused += simulation.total().refused;
        refused_in_time += simulation.total().refused_in_time;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GE(static_cast<double>(refused_in_time), target_in_time_fraction * static_cast<double>(refused));
}

// Guards against refusals after a stall: the backend servers make no progress for 400 ms, and the jobs that
// wait can still be served late.
TEST(load_simulation, jobs_delayed_by_a_stall_are_served_late) {
    load_simulation simulation{small_site(9)};
    for (int backend = 0; backend < 11; ++backend)
        simulation.hang_backend(backend, load_simulation::traffic_start() + 3000ms,
                                load_simulation::traffic_start() + 3400ms);
    simulation.run();
    const load_outcome all = simulation.total();
    EXPECT_GT(all.late, 0U);
    EXPECT_LE(static_cast<double>(all.refused),
              (1 - target_in_time_fraction) * static_cast<double>(all.late));
}

} // namespace
} // namespace persimmonstile
