#include "coordination/placement/capacity_history.h"

#include <algorithm>
#include <cmath>

namespace persimmonstile {

namespace {

// Reports older than this have little weight. Load peaks last seconds.
constexpr double averaging_seconds = 1.0;

// Rate that is assumed at the first report: that of a backend server at half load.
constexpr double initial_starts_per_second = 30;

// Reports that are closer together count as this far apart, so that a single run between them is not taken
// for a high rate.
constexpr double min_interval_seconds = 0.005;

// An agent reports a change within this time even if it serves ten entries, so what it reported last held
// until then.
constexpr milliseconds max_report_age{100};

// A start message takes this long to the agent.
constexpr milliseconds transit_time{1};

} // namespace

void capacity_history::record(const report& reported, time_point now) {
    if (is_empty()) {
        starts_per_second_ = initial_starts_per_second;
    } else {
        const double between =
            std::max(min_interval_seconds, std::chrono::duration<double>{now - last_report_}.count());
        // Without a count, the change of the capacity shows the starts less the ends of runs, or the reverse.
        double others = std::abs(reported.free - last_ - reported.own_change) / reported.needs_per_run;
        if (last_accepted_runs_ > 0 && reported.accepted_runs >= last_accepted_runs_) {
            const std::uint64_t accepted = reported.accepted_runs - last_accepted_runs_;
            others = static_cast<double>(accepted - std::min(accepted, reported.own_runs));
        }
        const double weight = 1 - std::exp(-between / averaging_seconds);
        starts_per_second_ += weight * (others / between - starts_per_second_);
    }
    last_ = reported.free;
    last_report_ = now;
    last_accepted_runs_ = reported.accepted_runs;
}

double capacity_history::expected_starts(time_point now) const {
    const std::chrono::duration<double> age =
        std::min<boot_clock::duration>(now - last_report_, max_report_age) + transit_time;
    return starts_per_second_ * age.count();
}

} // namespace persimmonstile
