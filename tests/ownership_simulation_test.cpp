#include "tests/ownership_simulation.h"

#include <cstdlib>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint64_t default_histories = 2000;
constexpr auto fault_duration = 12s;
constexpr auto max_recovery_time = 10s;

simulation_options options_for(std::uint64_t seed) {
    simulation_options options;
    options.entries = 1 + seed % 4;
    options.agents = std::array<std::size_t, 4>{3, 5, 4, 11}[seed / 4 % 4];
    return options;
}

// Runs one simulation with random faults. Returns the violation with the seed and the list of faults, or
// nullopt.
std::optional<std::string> run_history(std::uint64_t seed, const simulation_options& options) {
    ownership_simulation simulation{options, seed};
    const auto faults = simulation.schedule_random_faults(fault_duration);
    simulation.run_for(fault_duration);
    if (!options.allows_majority_loss && !simulation.violation()) {
        simulation.run_until_owned(max_recovery_time);
        if (!simulation.are_all_owned())
            simulation.add_violation("a partition has no owner 10 s after the last fault");
    }
    if (!simulation.violation())
        return std::nullopt;
    std::ostringstream text;
    text << "seed " << seed << ", " << options.entries << " entries, " << options.agents << " agents\n";
    for (const fault& injected : faults)
        text << injected;
    text << *simulation.violation();
    return text.str();
}

std::uint64_t environment_number(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// The parameter selects one of four shards of the random histories, which run in parallel.
class random_histories : public testing::TestWithParam<std::uint64_t> {};
constexpr std::uint64_t shards = 4;

// Guards against two owners of a partition, tables and epochs that decrease, lost agent records, too many
// store calls, and partitions that stay without an owner. OWNERSHIP_HISTORIES sets the number of histories,
// OWNERSHIP_SEED the first seed.
TEST_P(random_histories, keep_the_invariants) {
    const std::uint64_t first = environment_number("OWNERSHIP_SEED", 1);
    const std::uint64_t count = environment_number("OWNERSHIP_HISTORIES", default_histories);
    for (std::uint64_t seed = first + GetParam(); seed < first + count; seed += shards) {
        if (const auto failure = run_history(seed, options_for(seed)))
            FAIL() << *failure;
    }
}
INSTANTIATE_TEST_SUITE_P(ownership_simulation, random_histories, testing::Range(std::uint64_t{0}, shards));

// Guards against a second owner of a partition after so many grantors have restarted that no majority knows
// the last table version any more.
TEST(ownership_simulation, loss_of_all_grantors_is_safe) {
    const std::uint64_t first = environment_number("OWNERSHIP_SEED", 1);
    const std::uint64_t count = environment_number("OWNERSHIP_HISTORIES", default_histories) / 4;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        simulation_options options = options_for(seed);
        options.allows_majority_loss = true;
        if (const auto failure = run_history(seed, options))
            FAIL() << *failure;
    }
}

// Returns a simulation without slow messages and faults in which all partitions have an owner.
std::unique_ptr<ownership_simulation> simulation_without_faults(simulation_options options,
                                                                std::uint64_t seed) {
    options.has_slow_messages = false;
    auto simulation = std::make_unique<ownership_simulation>(options, seed);
    EXPECT_TRUE(simulation->run_until_owned(max_recovery_time));
    simulation->run_for(5s);
    return simulation;
}

// Guards against owners that depend on the store to keep their leases, and against store calls of entries
// that need none.
TEST(ownership_simulation, owner_keeps_its_grants_through_a_long_store_outage) {
    const auto simulation = simulation_without_faults({}, 1);
    simulation->apply({0s, fault_kind::store_down, 0, 0, 600s});
    const std::size_t store_calls = simulation->entry(0).store_calls.size();
    const bool is_interrupted =
        simulation->run_until(simulation->now() + 600s, [&] { return !simulation->are_all_owned(); });
    EXPECT_FALSE(is_interrupted);
    EXPECT_EQ(simulation->violation(), std::nullopt);
    EXPECT_EQ(simulation->entry(0).store_calls.size(), store_calls);
}

// Guards against more than one store call a second from an entry that retries during a store outage.
TEST(ownership_simulation, waiting_entry_calls_the_store_at_most_once_a_second) {
    const auto simulation = simulation_without_faults({}, 2);
    simulation->apply({0s, fault_kind::store_down, 0, 0, 600s});
    simulation->kill_entry(0);
    const std::size_t store_calls = simulation->entry(1).store_calls.size();
    simulation->run_for(600s);
    EXPECT_LE(simulation->entry(1).store_calls.size() - store_calls, 600U);
    EXPECT_GE(simulation->entry(1).store_calls.size() - store_calls, 100U);
    EXPECT_TRUE(simulation->run_until_owned(max_recovery_time));
    EXPECT_EQ(simulation->violation(), std::nullopt);
}

// Guards against an old owner that acts until the end of its lease while the wait of the new owner ends
// early. Clock rates differ by up to 4%, and the old owner is cut off around the time of the table change.
TEST(ownership_simulation, fencing_holds_for_the_largest_clock_rate_difference) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        simulation_options options;
        options.entries = 2;
        options.has_slow_messages = false;
        ownership_simulation simulation{options, seed};
        ASSERT_TRUE(simulation.run_until(
            20s, [&] { return simulation.stored() && simulation.stored()->version == 2; }));
        simulation.run_for(nanoseconds{static_cast<std::int64_t>(seed) * 20'000});
        const std::size_t old_owner = simulation.stored()->writer == "entry0" ? 1 : 0;
        simulation.isolate_entry(old_owner, options.agents, 1);
        simulation.run_for(5s);
        ASSERT_EQ(simulation.violation(), std::nullopt) << seed;
    }
}

// Guards against a removed owner that resumes and acts on expired leases, or that never joins again.
TEST(ownership_simulation, paused_owner_is_replaced_and_joins_again) {
    const auto simulation = simulation_without_faults({}, 3);
    const incarnation paused = simulation->entry(0).id;
    simulation->pause(simulation->entry(0));
    EXPECT_TRUE(simulation->run_until(simulation->now() + 5s, [&] { return simulation->are_all_owned(); }));
    simulation->resume(simulation->entry(0));
    EXPECT_EQ(simulation->violation(), std::nullopt);
    EXPECT_FALSE(has_entry(*simulation->stored(), paused));
    simulation->run_for(5s);
    EXPECT_TRUE(has_entry(*simulation->stored(), paused));
    EXPECT_TRUE(simulation->are_all_owned());
    EXPECT_EQ(simulation->violation(), std::nullopt);
}

// Guards against grant replies that arrive before or during the pause of an owner and are read after it,
// when another entry owns its partitions.
TEST(ownership_simulation, grants_received_during_a_pause_do_not_count_from_its_end) {
    // With a single grantor, one reply is a majority.
    simulation_options options;
    options.entries = 2;
    options.agents = 1;
    options.minimum_grantors = 1;
    const auto instants = 300ms;
    for (auto instant = 0ms; instant < instants; instant += 1ms) {
        const auto simulation = simulation_without_faults(options, 6);
        simulation->run_for(instant);
        simulation->pause(simulation->entry(0));
        simulation->run_for(5s);
        ASSERT_TRUE(simulation->are_all_owned());
        simulation->resume(simulation->entry(0));
        ASSERT_EQ(simulation->violation(), std::nullopt) << instant.count();
    }
}

// Guards against a planned stop that is noticed only by failure detection, and against one that leaves
// partitions without an owner.
TEST(ownership_simulation, planned_leave_does_not_wait_for_failure_detection) {
    const auto simulation = simulation_without_faults({}, 4);
    simulation->leave_entry(0);
    EXPECT_TRUE(
        simulation->run_until(simulation->now() + 500ms, [&] { return !simulation->entry(0).logic; }));
    EXPECT_TRUE(simulation->run_until_owned(2500ms));
    EXPECT_EQ(simulation->stored()->entries.size(), 2U);
    EXPECT_EQ(simulation->violation(), std::nullopt);
}

// Guards against a set of grantors that shrinks as machines are replaced.
TEST(ownership_simulation, absent_grantor_is_replaced_by_a_spare_agent) {
    simulation_options options;
    options.agents = 4;
    const auto simulation = simulation_without_faults(options, 5);
    ASSERT_EQ(simulation->stored()->grantors.size(), 3U);
    const std::string absent = simulation->stored()->grantors.front();
    simulation->kill_agent(static_cast<std::size_t>(absent.back() - '0'));
    const bool is_interrupted =
        simulation->run_until(simulation->now() + 80s, [&] { return !simulation->are_all_owned(); });
    EXPECT_FALSE(is_interrupted);
    EXPECT_EQ(simulation->stored()->grantors.size(), 3U);
    EXPECT_FALSE(contains(simulation->stored()->grantors, absent));
    EXPECT_EQ(simulation->violation(), std::nullopt);
}

// Guards against adding a grantor that cannot yet help another one to recover: a restart at that moment
// stopped the cell permanently.
TEST(ownership_simulation, restart_of_a_grantor_while_the_set_grows_does_not_stop_the_cell) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        simulation_options options;
        options.entries = 1;
        options.spare_agents = 2;
        // Otherwise the simulation would skip the restart that this test needs.
        options.allows_majority_loss = true;
        ownership_simulation simulation{options, seed};
        ASSERT_TRUE(simulation.run_until_owned(max_recovery_time));
        const std::size_t grantors = simulation.stored()->grantors.size();
        simulation.add_agents(2);
        ASSERT_TRUE(simulation.run_until(simulation.now() + 20s,
                                         [&] { return simulation.stored()->grantors.size() > grantors; }));
        simulation.run_for(nanoseconds{static_cast<std::int64_t>(seed) * 50'000'000});
        simulation.apply({0s, fault_kind::restart_agent, 0, seed % 3, 100ms});
        simulation.run_for(10s);
        EXPECT_TRUE(simulation.are_all_owned()) << seed;
        EXPECT_EQ(simulation.stored()->grantors.size(), 5U) << seed;
        EXPECT_EQ(simulation.violation(), std::nullopt) << seed;
    }
}

// Guards against adding a grantor while another one is down: with four named and one down, a restart of the
// new one stopped the cell permanently.
TEST(ownership_simulation, grantor_set_does_not_grow_while_a_grantor_is_down) {
    simulation_options options;
    options.entries = 1;
    options.spare_agents = 2;
    const auto simulation = simulation_without_faults(options, 7);
    simulation->kill_agent(0);
    simulation->add_agents(2);
    simulation->run_for(20s);
    EXPECT_EQ(simulation->stored()->grantors.size(), 3U);
    simulation->start_agent(0);
    simulation->run_for(20s);
    EXPECT_EQ(simulation->stored()->grantors.size(), 5U);
    EXPECT_EQ(simulation->violation(), std::nullopt);
}

// Guards against entries that block each other when they join at the same time.
TEST(ownership_simulation, entries_that_join_together_share_the_partitions) {
    for (const std::size_t agents : {1U, 3U, 5U, 11U}) {
        simulation_options options;
        options.entries = 4;
        options.agents = agents;
        options.minimum_grantors = std::min<std::size_t>(agents, 3);
        const auto simulation = simulation_without_faults(options, agents);
        // Each table change needs two store calls of its writer, so the entries join about 2 s apart.
        simulation->run_for(5s);
        std::array<int, 4> loads{};
        for (partition_id p = 0; p < partition_count; ++p)
            ++loads.at(*simulation->owner_of(p));
        EXPECT_GE(*std::min_element(loads.begin(), loads.end()), 15) << agents;
        EXPECT_EQ(simulation->violation(), std::nullopt);
    }
}

} // namespace
} // namespace persimmonstile
