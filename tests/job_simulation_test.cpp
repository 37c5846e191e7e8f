#include "tests/job_simulation.h"

#include <cstdlib>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint64_t ci_histories = 10000;

// Reads a number from the environment. PERSIMMONSTILE_HISTORIES sets how many histories run, and
// PERSIMMONSTILE_SEED runs the single history of that seed.
std::uint64_t environment_number(const char* name, std::uint64_t default_value) {
    const char* value = std::getenv(name);
    return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

// Guards against combinations of failures, also two or three at once, that start a task twice, mix up or lose
// an answer, or make a refusal false.
TEST(job_simulation, guarantees_hold_under_random_failures) {
    const std::uint64_t first = environment_number("PERSIMMONSTILE_SEED", 1);
    const bool single = std::getenv("PERSIMMONSTILE_SEED") != nullptr;
    const std::uint64_t count = single ? 1 : environment_number("PERSIMMONSTILE_HISTORIES", ci_histories);
    std::size_t starts = 0;
    std::size_t complete = 0;
    std::size_t takeovers = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        job_simulation::options chosen;
        chosen.seed = seed;
        job_simulation simulation{chosen};
        ASSERT_TRUE(simulation.run().empty()) << simulation.history();
        starts += simulation.starts();
        complete += simulation.complete_answers();
        takeovers += simulation.takeovers();
    }
    // The histories must start and complete jobs, or the checks above would pass without testing anything.
    EXPECT_GT(starts, count);
    EXPECT_GT(complete, count);
    EXPECT_TRUE(single || takeovers > count / 4);
}

// Returns true if a history of one of the first seeds violates a guarantee.
bool finds_violation(job_simulation::options chosen, std::uint64_t histories) {
    for (chosen.seed = 1; chosen.seed <= histories; ++chosen.seed) {
        job_simulation simulation{chosen};
        if (!simulation.run().empty())
            return true;
    }
    return false;
}

// Guards against checks that cannot fail: when the new owner sends no query after a takeover, a task starts
// twice.
TEST(job_simulation, detects_a_missing_query) {
    job_simulation::options broken;
    broken.skips_query = true;
    EXPECT_TRUE(finds_violation(broken, 200));
}

} // namespace
} // namespace persimmonstile
