#include "tests/load_world.h"

#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// What users aim at on days with trouble: nine callers of ten get their whole answer in time.
constexpr double aimed_in_time = 0.9;

// A rush beyond capacity may leave one caller of a hundred without an answer that says what became of the
// job.
constexpr double most_unanswered = 0.01;

// The three kinds of job of the sites: field checks or bale counts, document builds or pickups, lookups.
std::vector<load_class> usual_classes(double scale, std::int64_t millicores) {
    return {{"short", 34.4 * scale, 8, 60ms, millicores, 0},
            {"long", 6.25 * scale, 4, 900ms, millicores, 2},
            {"common", 100 * scale, 2, 200ms, millicores, 1}};
}

// 3 entries and 11 backend servers, 140 jobs a second.
load_world::options small_site(std::uint64_t seed) {
    load_world::options options;
    options.seed = seed;
    options.classes = usual_classes(1, 3100);
    return options;
}

// 9 entries and 58 backend servers, 840 jobs a second.
load_world::options grown_site(std::uint64_t seed) {
    load_world::options options;
    options.seed = seed;
    options.classes = usual_classes(6, 2800);
    options.entries = 9;
    options.agents = 58;
    options.length = 4000ms;
    options.burst_begin = 1000ms;
    options.burst_end = 3000ms;
    return options;
}

void expect_in_time(load_world& world) {
    for (const auto& [queue, outcome] : world.run())
        EXPECT_GE(outcome.in_time_part(), aimed_in_time)
            << queue << ": " << outcome.jobs << " jobs, late " << outcome.late << ", too late "
            << outcome.too_late << ", refused " << outcome.refused << ", unanswered " << outcome.unanswered;
    EXPECT_TRUE(world.is_room_kept());
}

// Guards against placement that leaves callers waiting while there is room.
TEST(load, usual_traffic_is_served_in_time) {
    load_world small{small_site(1)};
    expect_in_time(small);
    load_world grown{grown_site(1)};
    expect_in_time(grown);
}

// Guards against a rush in one third of the callers' time that makes entries compete for the same room.
TEST(load, a_burst_below_capacity_is_served_in_time) {
    load_world::options rush = small_site(2);
    rush.burst = 1.5;
    load_world small{rush};
    expect_in_time(small);
    rush = grown_site(2);
    rush.burst = 1.5;
    load_world grown{rush};
    expect_in_time(grown);
}

// Guards against orders that get no answer and hold up the tasks behind them: one in twenty is lost and
// carried out seconds later, and its loss must not cost the callers of other tasks their time.
TEST(load, lost_orders_cost_few_callers_their_time) {
    load_world::options options = small_site(3);
    options.late_orders = 0.05;
    load_world small{options};
    expect_in_time(small);
    options = grown_site(3);
    options.late_orders = 0.05;
    load_world grown{options};
    expect_in_time(grown);
}

// Guards against news of room that make all entries compete for each place that becomes free, and against an
// agent whose messages grow with the number of entries: told less often, callers fare no worse for a third
// fewer messages.
TEST(load, rare_news_of_room_serve_callers_no_worse) {
    load_world::options options = grown_site(5);
    options.burst = 2;
    load_world rare{options};
    rare.run();
    options.agent_figures.min_room_interval = 20ms;
    options.agent_figures.room_interval_per_entry = 0ms;
    load_world frequent{options};
    frequent.run();
    EXPECT_GE(rare.total().in_time, frequent.total().in_time);
    EXPECT_LE(3 * rare.messages(), 2 * frequent.messages());
}

// Guards against short jobs that wait at a full backend server until they are late: sent back earlier, more
// of them end in time elsewhere.
TEST(load, a_short_wait_for_room_serves_more_short_jobs_in_time) {
    std::size_t after_short_wait = 0;
    std::size_t after_long_wait = 0;
    for (const std::uint64_t seed : {6, 7, 8}) {
        load_world::options options = small_site(seed);
        options.burst = 1.4;
        load_world brief{options};
        after_short_wait += brief.run().at("short").in_time;
        options.agent_figures.queue_timeout = 2 * options.agent_figures.queue_timeout;
        load_world patient{options};
        after_long_wait += patient.run().at("short").in_time;
    }
    EXPECT_GT(after_short_wait, after_long_wait);
}

// Three times the usual traffic, more than all backend servers carry.
load_world::options overload(std::uint64_t seed) {
    load_world::options options = small_site(seed);
    options.burst = 3;
    return options;
}

// Guards against callers that are held until their deadline, and against jobs that are begun and then left
// behind others until nobody waits for them.
TEST(load, callers_that_cannot_be_served_hear_so_in_time) {
    load_world world{overload(4)};
    for (const auto& [queue, outcome] : world.run()) {
        const auto part = static_cast<double>(outcome.unanswered) / static_cast<double>(outcome.jobs);
        EXPECT_LE(part, most_unanswered) << queue;
    }
    EXPECT_GT(world.total().refused, 0U);
    EXPECT_TRUE(world.is_room_kept());
}

// Guards against callers that hear of a refusal only when it is too late for anything else: all room goes to
// jobs that can be in time, and those that cannot are told so within their objective.
TEST(load, a_refusal_in_a_rush_comes_within_the_objective) {
    std::size_t refused = 0;
    std::size_t refused_in_time = 0;
    for (const std::uint64_t seed : {4, 5, 6}) {
        load_world world{overload(seed)};
        world.run();
        refused += world.total().refused;
        refused_in_time += world.total().refused_in_time;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GE(static_cast<double>(refused_in_time), aimed_in_time * static_cast<double>(refused));
}

// Guards against refusals after a stall: the backend servers stand still for a moment, and what waits can be
// served late.
TEST(load, jobs_that_a_stall_makes_late_are_served) {
    load_world world{small_site(9)};
    for (int backend = 0; backend < 11; ++backend)
        world.hang_backend(backend, load_world::begin_of_traffic() + 3000ms,
                           load_world::begin_of_traffic() + 3400ms);
    world.run();
    const load_outcome all = world.total();
    EXPECT_GT(all.late, 0U);
    EXPECT_LE(static_cast<double>(all.refused), (1 - aimed_in_time) * static_cast<double>(all.late));
}

} // namespace
} // namespace persimmonstile
