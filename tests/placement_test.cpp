#include "coordination/placement_credits.h"
#include "coordination/placement_least_completion.h"
#include "coordination/placement_random.h"
#include "coordination/placement_two_choices.h"
#include "coordination/robust_average.h"
#include "tests/scheduler_simulation.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// Runs the same tests with every placement policy.
template <typename policy> struct placement_test : testing::Test {
    std::map<std::uint32_t, int> choose_many(int times) {
        std::map<std::uint32_t, int> chosen;
        for (int i = 0; i < times; ++i)
            ++chosen[placement.choose(random).value()];
        return chosen;
    }

    policy placement;
    std::mt19937_64 random{1};
};

using all_policies =
    testing::Types<placement_random, placement_two_choices, placement_credits, placement_least_completion>;
TYPED_TEST_SUITE(placement_test, all_policies);

// Guards against choosing a backend server that was removed, whatever the order of the updates.
TYPED_TEST(placement_test, chooses_only_available_backend_servers) {
    std::set<std::uint32_t> available;
    for (int step = 0; step < 20000; ++step) {
        const auto id = static_cast<std::uint32_t>(this->random() % 50);
        if (this->random() % 2 == 0) {
            const double tasks = static_cast<double>(this->random() % 9);
            this->placement.update(id, {8, tasks, 0.1 * (1 + id % 4)}, this->random);
            available.insert(id);
        } else {
            this->placement.remove(id);
            available.erase(id);
        }
        const auto chosen = this->placement.choose(this->random);
        ASSERT_EQ(chosen.has_value(), !available.empty());
        if (chosen) {
            ASSERT_TRUE(available.contains(*chosen));
        }
    }
}

// Guards against jobs that are refused or do not complete at 50% load.
TYPED_TEST(placement_test, completes_all_jobs_at_moderate_load) {
    workload load;
    load.duration = 20s;
    load.work_per_second = 0.5 * capacity_of(eleven_agents());
    scheduler_simulation<TypeParam> simulation{eleven_agents(), load.entries, simulated_fleet()};
    const time_point end = simulation.now + load.duration + load.deadline;
    simulation.submit_all(make_trace(load));
    simulation.run_until(end);
    for (const simulated_outcome& outcome : simulation.outcomes)
        EXPECT_TRUE(outcome.response);
}

using random_test = placement_test<placement_random>;
using two_choices_test = placement_test<placement_two_choices>;
using credits_test = placement_test<placement_credits>;
using least_completion_test = placement_test<placement_least_completion>;

// Guards against a biased random choice.
TEST_F(random_test, chooses_evenly) {
    for (std::uint32_t id = 0; id < 10; ++id)
        placement.update(id, {8, 0, 0.1}, random);
    for (const auto& [id, times] : choose_many(10000))
        EXPECT_NEAR(times, 1000, 150) << id;
}

// Guards against a choice that ignores the load: the most loaded backend server may only be chosen if both
// draws return it.
TEST_F(two_choices_test, prefers_the_less_loaded) {
    for (std::uint32_t id = 0; id < 10; ++id)
        placement.update(id, {8, id == 0 ? 8.0 : 1.0, 0.1}, random);
    EXPECT_LT(choose_many(10000)[0], 200);
}

// Guards against credits that ignore the number of slots of a backend server.
TEST_F(credits_test, prefers_the_most_free_slots) {
    placement.update(0, {8, 2, 0.1}, random);
    placement.update(1, {32, 20, 0.9}, random);
    EXPECT_EQ(choose_many(10)[1], 10);
}

// Guards against choosing an idle slow backend server when a task would complete earlier by waiting for a
// fast one.
TEST_F(least_completion_test, weighs_the_wait_against_the_speed) {
    placement.update(0, {8, 8, 0.1}, random);
    placement.update(1, {8, 0, 0.4}, random);
    EXPECT_EQ(choose_many(1)[0], 1);
    placement.update(0, {1, 5, 0.1}, random);
    EXPECT_EQ(choose_many(1)[1], 1);
}

// Guards against a speed estimate that is distorted by single long tasks or by a wrong initial value.
TEST(robust_average, resists_outliers_and_a_wrong_prior) {
    robust_average estimate;
    for (int i = 0; i < 40; ++i)
        estimate.observe(i % 10 == 9 ? 20.0 : 0.2, 2.0);
    EXPECT_GT(estimate.value_or(0), 0.1);
    EXPECT_LT(estimate.value_or(0), 0.4);
}

// Guards against a speed estimate that takes minutes to follow a backend server that became 20 times
// slower.
TEST(robust_average, adopts_a_lasting_change_within_ten_samples) {
    robust_average estimate;
    for (int i = 0; i < 100; ++i)
        estimate.observe(0.2, 0.2);
    for (int i = 0; i < 10; ++i)
        estimate.observe(4.0, 0.2);
    EXPECT_NEAR(estimate.value_or(0), 4.0, 2.0);
}

// Guards against exceeding the targets of section 9 of docs/design.md at 70% load: response times of at
// most 1.05 (p50) and 1.3 (p99) times the ideal, and at most 1% wasted messages.
TEST(placement, least_completion_meets_the_targets_on_eleven_backend_servers) {
    workload load;
    load.work_per_second = 0.7 * capacity_of(eleven_agents());
    const auto trace = make_trace(load);
    const auto ideals = ideal_responses(trace, eleven_agents());
    scheduler_simulation<> simulation{eleven_agents(), load.entries, simulated_fleet()};
    const time_point end = simulation.now + load.duration + load.deadline;
    simulation.submit_all(trace);
    simulation.run_until(end);
    std::vector<double> responses;
    for (const simulated_outcome& outcome : simulation.outcomes)
        responses.push_back(outcome.response.value());
    EXPECT_LE(quantile(responses, 0.5), 1.05 * quantile(ideals, 0.5));
    EXPECT_LE(quantile(responses, 0.99), 1.3 * quantile(ideals, 0.99));
    EXPECT_LE(static_cast<double>(simulation.wasted_messages),
              0.01 * static_cast<double>(simulation.tasks_sent));
}

} // namespace
} // namespace persimmonstile
