#include "tests/load_simulation.h"

#include <cstdio>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Deployment B at this multiple of its base rate, scaled to the number of backend servers, with the demand of
// four zones that varies by 55% out of phase over entries of unequal size.
load_simulation::options zones_out_of_phase(int entries, int agents, double load, std::uint64_t seed,
                                            bool borrows_agents) {
    load_simulation::options options;
    options.seed = seed;
    options.entries = entries;
    options.agents = agents;
    const double scale = load * agents / 75.0;
    constexpr std::int64_t millicores = 3500;
    options.classes = {{"short", 181 * scale, 8, 51ms, millicores, 0},
                       {"long", 33 * scale, 4, 760ms, millicores, 2},
                       {"common", 528 * scale, 2, 170ms, millicores, 1}};
    options.millicores = {32000, 32000, 48000};
    options.speeds = {0.8, 1, 1.25};
    options.zones = 4;
    options.zone_amplitude = 0.55;
    // Half a period is within the duration, so each zone is above and below its mean.
    options.zone_period = 8500ms;
    options.duration = 4500ms;
    options.burst_begin = 0ms;
    options.burst_end = 4500ms;
    options.entry_sizes = {1, 0.6, 0.24, 0.18};
    options.entry_cost = 100us;
    options.has_peers = true;
    options.entry_settings.borrows_agents = borrows_agents;
    return options;
}

struct result {
    load_outcome total;
    // Jobs that were refused or late while another agent was free.
    std::size_t missed = 0;
    std::size_t borrowings = 0;
    std::size_t messages = 0;
};

// Plays the load with several seeds and returns the sums.
result play(int entries, int agents, double load, bool borrows_agents) {
    result sum;
    double utilization = 0;
    constexpr std::uint64_t seeds = 3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        load_simulation simulation{zones_out_of_phase(entries, agents, load, seed, borrows_agents)};
        simulation.run();
        EXPECT_TRUE(simulation.is_capacity_respected());
        const load_outcome total = simulation.total();
        sum.total.jobs += total.jobs;
        sum.total.in_time += total.in_time;
        sum.total.refused += total.refused;
        sum.missed += simulation.missed_while_others_free();
        sum.borrowings += simulation.borrowings();
        sum.messages += simulation.messages();
        utilization += simulation.burst_utilization() / seeds;
    }
    std::printf("entries=%d agents=%d borrows=%d utilization=%.2f jobs=%zu in_time=%zu refused=%zu "
                "missed_while_others_free=%zu borrowings=%zu messages=%zu\n",
                entries, agents, borrows_agents ? 1 : 0, utilization, sum.total.jobs, sum.total.in_time,
                sum.total.refused, sum.missed, sum.borrowings, sum.messages);
    return sum;
}

// Guards against messages and connections in a deployment whose agents serve all entries anyway.
TEST(balance_load, changes_nothing_with_three_entries) {
    const result before = play(3, 12, 2.4, false);
    const result after = play(3, 12, 2.4, true);
    EXPECT_EQ(after.borrowings, 0U);
    EXPECT_EQ(after.messages, before.messages);
    EXPECT_EQ(after.missed, before.missed);
}

// Guards against extra connections that cost more than they give where an agent serves ten of 14 entries:
// every further entry at an agent adds messages and competes for its capacity.
TEST(balance_load, makes_few_jobs_late_with_fourteen_entries) {
    const result before = play(14, 20, 2.1, false);
    const result after = play(14, 20, 2.1, true);
    EXPECT_GE(after.total.in_time + after.total.jobs / 100, before.total.in_time);
}

// Guards against jobs that are refused or late while agents that serve other entries have free capacity.
TEST(balance_load, fewer_jobs_miss_their_objective_with_55_entries) {
    const result before = play(55, 60, 2.1, false);
    const result after = play(55, 60, 2.1, true);
    EXPECT_EQ(before.borrowings, 0U);
    EXPECT_GT(after.borrowings, 0U);
    EXPECT_LT(after.missed, before.missed);
    EXPECT_LT(after.total.refused, before.total.refused);
}

} // namespace
} // namespace persimmonstile
