#include "tests/job_world.h"

#include <cstdlib>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::uint64_t ci_histories = 10000;

// PERSIMMONSTILE_HISTORIES runs a longer soak, PERSIMMONSTILE_SEED a single history.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
    const char* value = std::getenv(name);
    return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

// Guards against every way in which failures, two and three together, start a task twice, mix up or lose an
// answer or make a refusal untrue.
TEST(job_world, promises_hold_under_random_failures) {
    const std::uint64_t first = from_environment("PERSIMMONSTILE_SEED", 1);
    const bool single = std::getenv("PERSIMMONSTILE_SEED") != nullptr;
    const std::uint64_t count = single ? 1 : from_environment("PERSIMMONSTILE_HISTORIES", ci_histories);
    std::size_t starts = 0;
    std::size_t complete = 0;
    std::size_t takeovers = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        job_world::options chosen;
        chosen.seed = seed;
        job_world world{chosen};
        ASSERT_TRUE(world.run().empty()) << world.history();
        starts += world.starts();
        complete += world.complete_answers();
        takeovers += world.takeovers();
    }
    // The histories must do real work, or the checks above would hold for nothing.
    EXPECT_GT(starts, count);
    EXPECT_GT(complete, count);
    EXPECT_TRUE(single || takeovers > count / 4);
}

bool finds_violation(job_world::options chosen, std::uint64_t histories) {
    for (chosen.seed = 1; chosen.seed <= histories; ++chosen.seed) {
        job_world world{chosen};
        if (!world.run().empty())
            return true;
    }
    return false;
}

// Guards against checks that cannot fail: without the query after a takeover a task starts twice.
TEST(job_world, notices_a_missing_query) {
    job_world::options broken;
    broken.skip_query = true;
    EXPECT_TRUE(finds_violation(broken, 200));
}

} // namespace
} // namespace persimmonstile
