#include "tests/load_simulation.h"

#include <cstdio>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Deployment B at its base rate scaled to the number of entries, with the demand of four zones that varies by
// 55% out of phase over entries of unequal size.
load_simulation::options zones_out_of_phase(int entries, int agents, bool borrows_agents) {
    load_simulation::options options;
    options.seed = 1;
    options.entries = entries;
    options.agents = agents;
    const double scale = agents / 75.0;
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
    std::size_t jobs = 0;
    std::size_t missed = 0;
    std::size_t borrowings = 0;
    std::size_t messages = 0;
};

result play(const char* name, const load_simulation::options& options) {
    load_simulation simulation{options};
    simulation.run();
    const load_outcome total = simulation.total();
    std::printf("%s entries=%d borrows=%d jobs=%zu in_time=%zu late=%zu too_late=%zu refused=%zu "
                "unanswered=%zu missed_while_others_free=%zu borrowings=%zu messages=%zu utilization=%.2f\n",
                name, options.entries, options.entry_settings.borrows_agents ? 1 : 0, total.jobs,
                total.in_time, total.late, total.too_late, total.refused, total.unanswered,
                simulation.missed_while_others_free(), simulation.borrowings(), simulation.messages(),
                simulation.burst_utilization());
    EXPECT_TRUE(simulation.is_capacity_respected());
    return {total.jobs, simulation.missed_while_others_free(), simulation.borrowings(), simulation.messages()};
}

// Guards against messages and connections in a deployment whose agents serve all entries anyway.
TEST(balance_load, changes_nothing_with_three_entries) {
    const result before = play("zones", zones_out_of_phase(3, 12, false));
    const result after = play("zones", zones_out_of_phase(3, 12, true));
    EXPECT_EQ(after.borrowings, 0U);
    EXPECT_EQ(after.messages, before.messages);
    EXPECT_EQ(after.missed, before.missed);
}

// Guards against jobs that are refused or late while agents that serve other entries have free capacity.
TEST(balance_load, fewer_jobs_miss_their_objective_while_other_agents_are_free) {
    struct site {
        int entries;
        int agents;
    };
    for (const site chosen : {site{14, 75}, site{55, 120}}) {
        const result before = play("zones", zones_out_of_phase(chosen.entries, chosen.agents, false));
        const result after = play("zones", zones_out_of_phase(chosen.entries, chosen.agents, true));
        EXPECT_EQ(before.borrowings, 0U);
        EXPECT_GT(after.borrowings, 0U);
        EXPECT_LT(after.missed, before.missed) << chosen.entries;
    }
}

} // namespace
} // namespace persimmonstile
