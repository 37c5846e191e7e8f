#include "coordination/placement/capacity_history.h"
#include "coordination/placement/return_statistics.h"
#include "coordination/placement/shortage_outlook.h"
#include "coordination/placement/shortage_table.h"
#include "placement_simulation.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

struct comparison {
    int starts = 0;
    int returns = 0;
    int late = 0;
    int short_with_return = 0;
};

// Sums over several days, because the number of late jobs of one day is mostly due to the draw of run times.
comparison play(placement_simulation::options chosen, bool forecasts) {
    comparison sum;
    chosen.forecasts_placement = forecasts;
    for (chosen.seed = 1; chosen.seed <= 2; ++chosen.seed) {
        placement_simulation::results result = placement_simulation{chosen}.run();
        sum.starts += result.starts;
        sum.returns += result.returns;
        sum.short_with_return += result.kinds["short"].with_return;
        for (const auto& [queue, kind] : result.kinds)
            sum.late += kind.late;
    }
    ::testing::Test::RecordProperty("returns", sum.returns);
    ::testing::Test::RecordProperty("late", sum.late);
    return sum;
}

// Guards against placement that sends tasks to capacity which other entries have taken since the report.
TEST(placement_forecast, has_fewer_returned_runs_when_ten_entries_share_agents) {
    placement_simulation::options chosen;
    chosen.counts_accepted_runs = true;
    for (const double utilization : {0.44, 0.7}) {
        chosen.utilization = utilization;
        const comparison before = play(chosen, false);
        const comparison after = play(chosen, true);
        EXPECT_LT(after.returns, 0.9 * before.returns) << utilization;
        EXPECT_LE(after.short_with_return, before.short_with_return) << utilization;
        EXPECT_LT(after.late, 1.05 * before.late) << utilization;
    }
}

// Guards against the same when the agents do not count the runs that they accept.
TEST(placement_forecast, has_fewer_returned_runs_without_counts_of_accepted_runs) {
    placement_simulation::options chosen;
    chosen.utilization = 0.7;
    const comparison before = play(chosen, false);
    const comparison after = play(chosen, true);
    EXPECT_LT(after.returns, before.returns);
    EXPECT_LT(after.late, 1.05 * before.late);
}

// Guards against an estimate that ignores how old a report is and how much of the capacity is free.
TEST(shortage_table, learns_which_reports_are_too_old) {
    shortage_table table;
    for (int i = 0; i < 300; ++i) {
        table.observe(0.04, 1.5, false);
        table.observe(2.0, 1.5, true);
        table.observe(2.0, 6.5, false);
    }
    EXPECT_LT(table.probability(0.04, 1.5), 0.05);
    EXPECT_GT(table.probability(2.0, 1.5), 0.9);
    EXPECT_LT(table.probability(2.0, 6.5), 0.05);
}

// Guards against counting the entry's own runs as those of others, and against a rate that grows without
// bound when two reports come together.
TEST(capacity_history, counts_the_starts_of_other_entries) {
    capacity_history history;
    time_point now{100s};
    std::uint64_t accepted = 1000;
    for (int i = 0; i < 100; ++i) {
        now += 50ms;
        accepted += 3;
        capacity_history::report report;
        report.accepted_runs = accepted;
        report.own_runs = 2;
        history.record(report, now);
    }
    // One run of others in 50 ms.
    EXPECT_NEAR(history.expected_starts(now + 49ms), 1.0, 0.1);
    // A report that is older than the report interval means that nothing has changed.
    EXPECT_EQ(history.expected_starts(now + 5s), history.expected_starts(now + 100ms));
}

// Guards against a fixed cost of returns: agents that return runs at once make them cheap.
TEST(return_statistics, learns_how_often_and_how_late_runs_are_returned) {
    return_statistics rare;
    return_statistics frequent;
    for (int i = 0; i < 1000; ++i) {
        rare.record_start(0.5);
        frequent.record_start(0.5);
        if (i % 2 == 0)
            frequent.record_return(3ms);
    }
    EXPECT_LT(rare.return_probability(0.5), 0.1);
    EXPECT_NEAR(frequent.return_probability(0.5), 0.5, 0.1);
    EXPECT_NEAR(frequent.return_seconds(), 0.003, 0.001);
    EXPECT_NEAR(rare.return_seconds(), 0.035, 0.001);
}

// Guards against a second return of a job that has no time left for it.
TEST(shortage_outlook, weighs_a_return_by_the_spare_time_of_the_job) {
    const shortage_outlook outlook{0.4, 0.2, 0.035};
    EXPECT_GT(outlook.cost(0.040), 2 * outlook.cost(0.600));
    EXPECT_GE(outlook.cost(-1.0), outlook.cost(0.040));
    EXPECT_EQ((shortage_outlook{0, 0, 0.035}.cost(0.1)), 0);
}

} // namespace
} // namespace persimmonstile
