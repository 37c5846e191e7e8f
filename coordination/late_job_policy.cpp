#include "coordination/late_job_policy.h"

namespace persimmonstile {

namespace {

// Late jobs are refused after they have been passed over for this long. About twice the latency objective of
// the shortest jobs (156 ms), so that hardly any job is refused in a short burst, after which it can still be
// served.
constexpr milliseconds refusal_delay{300};

// Minimum number of runs of other jobs that have started meanwhile. Fewer can be chance, or a sign of a
// stall.
constexpr std::size_t min_other_starts = 8;

// If late jobs were not passed over for this long, the earlier overload has ended.
constexpr milliseconds reset_interval{500};

} // namespace

void late_job_policy::record_passed_over(std::size_t other_starts, time_point now) {
    if (!passed_over_since_ || now - last_passed_over_ > reset_interval) {
        passed_over_since_ = now;
        other_starts_ = 0;
    }
    last_passed_over_ = now;
    other_starts_ += other_starts;
}

bool late_job_policy::should_refuse(time_point now) const {
    return passed_over_since_ && now - *passed_over_since_ >= refusal_delay &&
           other_starts_ >= min_other_starts;
}

} // namespace persimmonstile
