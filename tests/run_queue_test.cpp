#include "coordination/run_queue/capacity_profile.h"
#include "coordination/run_queue/entry_shares.h"
#include "coordination/run_queue/run_end_estimate.h"
#include "coordination/run_queue/start_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr milliseconds queue_timeout{30};
constexpr std::size_t many_starts = 8;
constexpr resources one_run{6400, 64, 0};

active_run running(milliseconds expected, milliseconds elapsed) {
    active_run run;
    run.needs = one_run;
    run.expected = expected;
    run.elapsed = elapsed;
    return run;
}

active_run with_progress(std::uint32_t percent, milliseconds observed, milliseconds elapsed) {
    active_run run = running(milliseconds{60}, elapsed);
    run.percent = percent;
    run.elapsed_at_progress = observed;
    return run;
}

run_ref ref(task_index index) {
    return {{"job", 0, 0, index}, 1};
}

waiting_run waiting(task_index index, std::optional<milliseconds> start_within = std::nullopt,
                    std::uint32_t priority = 0, const std::string& entry = "a") {
    waiting_run run;
    run.run = ref(index);
    run.entry = entry;
    run.needs = one_run;
    run.expected = milliseconds{60};
    run.priority = priority;
    run.start_within = start_within;
    return run;
}

// Share of the run times that are longer than `time`, both in expected run times.
double survival(double time) {
    constexpr double spread = 0.5;
    if (time <= 0)
        return 1;
    const double log_normal = std::erfc((std::log(time) + spread * spread / 2) / (spread * std::sqrt(2))) / 2;
    const double tail = time <= 1 ? 1 : std::max(0.0, (7 - time) / 6);
    return 0.97 * log_normal + 0.03 * tail;
}

// Guards against estimates that do not follow from the distribution of run times.
TEST(run_end_estimate, half_of_the_runs_end_within_the_median) {
    for (int elapsed = 0; elapsed <= 6000; elapsed += 100) {
        const auto remaining = median_remaining(running(milliseconds{1000}, milliseconds{elapsed}));
        ASSERT_TRUE(remaining);
        const double start = elapsed / 1000.0;
        const double end = start + static_cast<double>(remaining->count()) / 1000;
        EXPECT_NEAR(survival(end) / survival(start), 0.5, 0.02) << elapsed;
    }
}

// Guards against taking a run that is far over its expected time for one that ends at once.
TEST(run_end_estimate, a_run_that_is_far_over_its_time_is_one_of_the_long_ones) {
    EXPECT_LT(median_remaining(running(milliseconds{60}, milliseconds{60})), milliseconds{30});
    EXPECT_GT(median_remaining(running(milliseconds{60}, milliseconds{180})), milliseconds{60});
}

// Guards against an estimate that ignores the progress of a run.
TEST(run_end_estimate, extrapolates_observed_progress) {
    const auto remaining = median_remaining(with_progress(50, milliseconds{100}, milliseconds{120}));
    ASSERT_TRUE(remaining);
    EXPECT_NEAR(static_cast<double>(remaining->count()), 78, 2);
    EXPECT_FALSE(remaining_by_progress(with_progress(9, milliseconds{10}, milliseconds{10})));
    // Progress that shows an end in the past is no reason to expect the end at a negative time.
    EXPECT_GT(median_remaining(with_progress(50, milliseconds{20}, milliseconds{120})), milliseconds{0});
}

// Guards against a prediction for a run about which nothing is known.
TEST(run_end_estimate, predicts_nothing_without_expected_time_and_progress) {
    EXPECT_FALSE(median_remaining(running(milliseconds{0}, milliseconds{500})));
}

// Guards against releases that are not cumulative, out of order, or too many for a message.
TEST(capacity_profile, reports_releases_in_four_cumulative_steps) {
    std::vector<active_run> active;
    for (std::int64_t expected = 10; expected < 3000; expected = expected * 3 / 2)
        active.push_back(running(milliseconds{expected}, milliseconds{0}));
    const std::vector<capacity_release> releases = capacity_profile::releases(active);
    ASSERT_EQ(releases.size(), capacity_profile::max_release_steps);
    for (std::size_t i = 1; i < releases.size(); ++i) {
        EXPECT_GT(releases[i].in_ms, releases[i - 1].in_ms);
        EXPECT_GT(releases[i].amount.cpu_millicores, releases[i - 1].amount.cpu_millicores);
    }
    for (const capacity_release& release : releases) {
        std::int64_t released = 0;
        for (const active_run& run : active)
            released += median_remaining(run)->count() <= release.in_ms ? run.needs.cpu_millicores : 0;
        EXPECT_EQ(release.amount.cpu_millicores, released);
    }
    EXPECT_THAT(capacity_profile::releases({running(milliseconds{0}, milliseconds{5})}), IsEmpty());
}

// Guards against two waiting runs that count on the same release.
TEST(capacity_profile, counts_each_release_once) {
    capacity_profile profile{{}, {running(milliseconds{60}, milliseconds{60})}};
    const milliseconds duration{60};
    const auto first = profile.time_until_free(one_run, duration, queue_timeout);
    ASSERT_TRUE(first);
    EXPECT_GT(*first, milliseconds{0});
    profile.reserve(one_run, *first, duration);
    EXPECT_FALSE(profile.time_until_free(one_run, duration, queue_timeout));
    // The reservation ends.
    EXPECT_EQ(profile.time_until_free(one_run, duration, milliseconds{200}), *first + duration);
}

// Guards against a run that waits for the whole queue timeout although nothing ends within it.
TEST(start_plan, returns_a_run_at_once_that_will_find_no_capacity) {
    const std::vector<active_run> busy{running(milliseconds{900}, milliseconds{10})};
    const start_plan plan = plan_starts({waiting(0), waiting(1, milliseconds{50})}, {{}, busy},
                                        entry_shares{one_run}, many_starts, queue_timeout);
    EXPECT_THAT(plan.starting, IsEmpty());
    EXPECT_THAT(plan.returned, testing::UnorderedElementsAre(ref(0), ref(1)));
}

// Guards against the return of a run that would have started within the queue timeout.
TEST(start_plan, lets_a_run_wait_for_capacity_that_comes_in_time) {
    const std::vector<active_run> ending{running(milliseconds{60}, milliseconds{55})};
    const start_plan plan =
        plan_starts({waiting(0)}, {{}, ending}, entry_shares{one_run}, many_starts, queue_timeout);
    EXPECT_THAT(plan.starting, IsEmpty());
    EXPECT_THAT(plan.returned, IsEmpty());
}

// Guards against a wait so long that no time is left to place the run elsewhere, and against the return of
// a run with much time left.
TEST(start_plan, lets_a_run_wait_longer_only_within_half_of_its_time_left) {
    EXPECT_EQ(longest_wait(waiting(0), queue_timeout), queue_timeout);
    EXPECT_EQ(longest_wait(waiting(0, milliseconds{12}), queue_timeout), milliseconds{12});
    EXPECT_EQ(longest_wait(waiting(0, milliseconds{50}), queue_timeout), queue_timeout);
    EXPECT_EQ(longest_wait(waiting(0, milliseconds{400}), queue_timeout), milliseconds{200});
    waiting_run old = waiting(0);
    old.waited = queue_timeout + milliseconds{1};
    EXPECT_LT(longest_wait(old, queue_timeout), milliseconds{0});
}

// Guards against runs that wait without a bound because start orders are not sent.
TEST(start_plan, returns_a_run_that_fits_but_cannot_be_ordered_within_the_queue_timeout) {
    waiting_run run = waiting(0, milliseconds{400});
    EXPECT_THAT(plan_starts({run}, {one_run, {}}, entry_shares{one_run}, 0, queue_timeout).returned,
                IsEmpty());
    run.waited = queue_timeout;
    EXPECT_THAT(plan_starts({run}, {one_run, {}}, entry_shares{one_run}, 0, queue_timeout).returned,
                ElementsAre(ref(0)));
}

// Guards against an urgent start behind one that is late or can wait.
TEST(start_plan, starts_in_the_order_of_urgency_then_priority) {
    const std::vector<waiting_run> queue{waiting(0), waiting(1, milliseconds{400}, 0),
                                         waiting(2, milliseconds{45}, 2), waiting(3, milliseconds{41}, 1),
                                         waiting(4, milliseconds{20}, 2)};
    const start_plan plan =
        plan_starts(queue, {one_run * 5, {}}, entry_shares{one_run * 5}, many_starts, queue_timeout);
    EXPECT_THAT(plan.starting, ElementsAre(ref(4), ref(3), ref(2), ref(1), ref(0)));
}

// Guards against a small run that takes the capacity an urgent larger one is about to get.
TEST(start_plan, starts_no_run_that_delays_a_more_urgent_one) {
    waiting_run large = waiting(0, milliseconds{60});
    large.needs = one_run * 2;
    waiting_run small = waiting(1);
    const std::vector<active_run> ending{running(milliseconds{60}, milliseconds{60})};
    const capacity_profile profile{one_run, ending};
    start_plan plan =
        plan_starts({small, large}, profile, entry_shares{one_run * 2}, many_starts, queue_timeout);
    EXPECT_THAT(plan.starting, IsEmpty());
    EXPECT_THAT(plan.returned, ElementsAre(ref(1)));
    // One that ends before is started.
    small.expected = milliseconds{10};
    plan = plan_starts({small, large}, profile, entry_shares{one_run * 2}, many_starts, queue_timeout);
    EXPECT_THAT(plan.starting, ElementsAre(ref(1)));
    EXPECT_THAT(plan.returned, IsEmpty());
}

// Guards against an entry that gets all capacity because its runs arrive first.
TEST(start_plan, equally_urgent_runs_start_by_the_share_of_their_entries) {
    std::vector<waiting_run> queue;
    for (task_index i = 0; i < 6; ++i) {
        queue.push_back(waiting(i, milliseconds{50}, 0, "busy"));
        queue.back().waited = milliseconds{5};
    }
    queue.push_back(waiting(6, milliseconds{50}, 0, "other"));
    queue.push_back(waiting(7, milliseconds{50}, 0, "other"));
    const start_plan plan =
        plan_starts(queue, {one_run * 4, {}}, entry_shares{one_run * 4}, many_starts, queue_timeout);
    EXPECT_THAT(plan.starting, ElementsAre(ref(0), ref(1), ref(6), ref(7)));
}

} // namespace
} // namespace persimmonstile
