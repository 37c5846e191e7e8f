#include "tests/ownership_world.h"

#include <cstdlib>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint64_t default_histories = 2000;
constexpr auto fault_time = 12s;
constexpr auto recovery_limit = 10s;

world_options options_for(std::uint64_t seed) {
    world_options options;
    options.entries = 1 + seed % 4;
    options.agents = std::array<std::size_t, 4>{3, 5, 4, 11}[seed / 4 % 4];
    return options;
}

// Runs one simulation with random faults. Returns the violation with the seed and the list of faults, or
// nullopt.
std::optional<std::string> run_history(std::uint64_t seed, const world_options& options) {
    ownership_world world{options, seed};
    const auto faults = world.random_faults(fault_time);
    world.run_for(fault_time);
    if (!options.may_lose_grantors && !world.violation()) {
        world.run_until_owned(recovery_limit);
        if (!world.all_owned())
            world.fail("a partition has no owner 10 s after the last fault");
    }
    if (!world.violation())
        return std::nullopt;
    std::ostringstream text;
    text << "seed " << seed << ", " << options.entries << " entries, " << options.agents << " agents\n";
    for (const fault& f : faults)
        text << f;
    text << *world.violation();
    return text.str();
}

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// The parameter selects one of four shards of the random histories, which run in parallel.
class random_histories : public testing::TestWithParam<std::uint64_t> {};
constexpr std::uint64_t parts = 4;

// Guards against two owners of a partition, tables and epochs that decrease, lost agent records, too many
// store calls, and partitions that stay without an owner. OWNERSHIP_HISTORIES sets the number of histories,
// OWNERSHIP_SEED the first seed.
TEST_P(random_histories, keep_the_invariants) {
    const std::uint64_t first = number_from_environment("OWNERSHIP_SEED", 1);
    const std::uint64_t count = number_from_environment("OWNERSHIP_HISTORIES", default_histories);
    for (std::uint64_t seed = first + GetParam(); seed < first + count; seed += parts) {
        if (const auto failure = run_history(seed, options_for(seed)))
            FAIL() << *failure;
    }
}
INSTANTIATE_TEST_SUITE_P(ownership_world, random_histories, testing::Range(std::uint64_t{0}, parts));

// Guards against a second owner of a partition after so many grantors have restarted that no majority knows
// the last table version any more.
TEST(ownership_world, loss_of_all_grantors_is_safe) {
    const std::uint64_t first = number_from_environment("OWNERSHIP_SEED", 1);
    const std::uint64_t count = number_from_environment("OWNERSHIP_HISTORIES", default_histories) / 4;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        world_options options = options_for(seed);
        options.may_lose_grantors = true;
        if (const auto failure = run_history(seed, options))
            FAIL() << *failure;
    }
}

// Returns a simulation without slow messages and faults in which all partitions have an owner.
std::unique_ptr<ownership_world> calm_world(world_options options, std::uint64_t seed) {
    options.slow_messages = false;
    auto world = std::make_unique<ownership_world>(options, seed);
    EXPECT_TRUE(world->run_until_owned(recovery_limit));
    world->run_for(5s);
    return world;
}

// Guards against owners that depend on the store to keep their leases, and against store calls of entries
// that need none.
TEST(ownership_world, owner_keeps_its_grants_through_a_long_store_outage) {
    const auto world = calm_world({}, 1);
    world->apply({0s, fault_kind::store_down, 0, 0, 600s});
    const std::size_t calls = world->entry(0).calls.size();
    const bool lapsed = world->run_until(world->now() + 600s, [&] { return !world->all_owned(); });
    EXPECT_FALSE(lapsed);
    EXPECT_EQ(world->violation(), std::nullopt);
    EXPECT_EQ(world->entry(0).calls.size(), calls);
}

// Guards against more than one store call a second from an entry that retries during a store outage.
TEST(ownership_world, waiting_entry_calls_the_store_at_most_once_a_second) {
    const auto world = calm_world({}, 2);
    world->apply({0s, fault_kind::store_down, 0, 0, 600s});
    world->kill_entry(0);
    const std::size_t calls = world->entry(1).calls.size();
    world->run_for(600s);
    EXPECT_LE(world->entry(1).calls.size() - calls, 600U);
    EXPECT_GE(world->entry(1).calls.size() - calls, 100U);
    EXPECT_TRUE(world->run_until_owned(recovery_limit));
    EXPECT_EQ(world->violation(), std::nullopt);
}

// Guards against an old owner that acts until the end of its lease while the wait of the new owner ends
// early. Clock rates differ by up to 4%, and the old owner is cut off around the time of the table change.
TEST(ownership_world, fencing_holds_for_the_largest_clock_rate_difference) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        world_options options;
        options.entries = 2;
        options.slow_messages = false;
        ownership_world world{options, seed};
        ASSERT_TRUE(world.run_until(20s, [&] { return world.stored() && world.stored()->version == 2; }));
        world.run_for(nanoseconds{static_cast<std::int64_t>(seed) * 20'000});
        const std::size_t old_owner = world.stored()->writer == "entry0" ? 1 : 0;
        world.isolate_entry(old_owner, options.agents, 1);
        world.run_for(5s);
        ASSERT_EQ(world.violation(), std::nullopt) << seed;
    }
}

// Guards against a removed owner that resumes and acts on expired leases, or that never joins again.
TEST(ownership_world, paused_owner_is_replaced_and_joins_again) {
    const auto world = calm_world({}, 3);
    const incarnation paused = world->entry(0).id;
    world->pause(world->entry(0));
    EXPECT_TRUE(world->run_until(world->now() + 5s, [&] { return world->all_owned(); }));
    world->resume(world->entry(0));
    EXPECT_EQ(world->violation(), std::nullopt);
    EXPECT_FALSE(has_entry(*world->stored(), paused));
    world->run_for(5s);
    EXPECT_TRUE(has_entry(*world->stored(), paused));
    EXPECT_TRUE(world->all_owned());
    EXPECT_EQ(world->violation(), std::nullopt);
}

// Guards against grant replies that arrive before or during the pause of an owner and are read after it,
// when another entry owns its partitions.
TEST(ownership_world, grants_received_during_a_pause_do_not_count_from_its_end) {
    // With a single grantor, one reply is a majority.
    world_options options;
    options.entries = 2;
    options.agents = 1;
    options.minimum_grantors = 1;
    const auto instants = 300ms;
    for (auto instant = 0ms; instant < instants; instant += 1ms) {
        const auto world = calm_world(options, 6);
        world->run_for(instant);
        world->pause(world->entry(0));
        world->run_for(5s);
        ASSERT_TRUE(world->all_owned());
        world->resume(world->entry(0));
        ASSERT_EQ(world->violation(), std::nullopt) << instant.count();
    }
}

// Guards against a planned stop that is noticed only by failure detection, and against one that leaves
// partitions without an owner.
TEST(ownership_world, planned_leave_does_not_wait_for_failure_detection) {
    const auto world = calm_world({}, 4);
    world->leave_entry(0);
    EXPECT_TRUE(world->run_until(world->now() + 500ms, [&] { return !world->entry(0).logic; }));
    EXPECT_TRUE(world->run_until_owned(2500ms));
    EXPECT_EQ(world->stored()->entries.size(), 2U);
    EXPECT_EQ(world->violation(), std::nullopt);
}

// Guards against a set of grantors that shrinks as machines are replaced.
TEST(ownership_world, absent_grantor_is_replaced_by_a_spare_agent) {
    world_options options;
    options.agents = 4;
    const auto world = calm_world(options, 5);
    ASSERT_EQ(world->stored()->grantors.size(), 3U);
    const std::string absent = world->stored()->grantors.front();
    world->kill_agent(static_cast<std::size_t>(absent.back() - '0'));
    const bool lapsed = world->run_until(world->now() + 80s, [&] { return !world->all_owned(); });
    EXPECT_FALSE(lapsed);
    EXPECT_EQ(world->stored()->grantors.size(), 3U);
    EXPECT_FALSE(contains(world->stored()->grantors, absent));
    EXPECT_EQ(world->violation(), std::nullopt);
}

// Guards against adding a grantor that cannot yet help another one to recover: a restart at that moment
// stopped the cell permanently.
TEST(ownership_world, restart_of_a_grantor_while_the_set_grows_does_not_stop_the_cell) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        world_options options;
        options.entries = 1;
        options.spare_agents = 2;
        // Otherwise the simulation would skip the restart that this test needs.
        options.may_lose_grantors = true;
        ownership_world world{options, seed};
        ASSERT_TRUE(world.run_until_owned(recovery_limit));
        const std::size_t grantors = world.stored()->grantors.size();
        world.add_agents(2);
        ASSERT_TRUE(
            world.run_until(world.now() + 20s, [&] { return world.stored()->grantors.size() > grantors; }));
        world.run_for(nanoseconds{static_cast<std::int64_t>(seed) * 50'000'000});
        world.apply({0s, fault_kind::restart_agent, 0, seed % 3, 100ms});
        world.run_for(10s);
        EXPECT_TRUE(world.all_owned()) << seed;
        EXPECT_EQ(world.stored()->grantors.size(), 5U) << seed;
        EXPECT_EQ(world.violation(), std::nullopt) << seed;
    }
}

// Guards against adding a grantor while another one is down: with four named and one down, a restart of the
// new one stopped the cell permanently.
TEST(ownership_world, grantor_set_does_not_grow_while_a_grantor_is_down) {
    world_options options;
    options.entries = 1;
    options.spare_agents = 2;
    const auto world = calm_world(options, 7);
    world->kill_agent(0);
    world->add_agents(2);
    world->run_for(20s);
    EXPECT_EQ(world->stored()->grantors.size(), 3U);
    world->start_agent(0);
    world->run_for(20s);
    EXPECT_EQ(world->stored()->grantors.size(), 5U);
    EXPECT_EQ(world->violation(), std::nullopt);
}

// Guards against entries that block each other when they join at the same time.
TEST(ownership_world, entries_that_join_together_share_the_partitions) {
    for (const std::size_t agents : {1U, 3U, 5U, 11U}) {
        world_options options;
        options.entries = 4;
        options.agents = agents;
        options.minimum_grantors = std::min<std::size_t>(agents, 3);
        const auto world = calm_world(options, agents);
        // Each table change needs two store calls of its writer, so the entries join about 2 s apart.
        world->run_for(5s);
        std::array<int, 4> loads{};
        for (partition_id p = 0; p < partition_count; ++p)
            ++loads.at(*world->owner_of(p));
        EXPECT_GE(*std::min_element(loads.begin(), loads.end()), 15) << agents;
        EXPECT_EQ(world->violation(), std::nullopt);
    }
}

} // namespace
} // namespace persimmonstile
