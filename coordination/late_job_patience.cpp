#include "coordination/late_job_patience.h"

namespace persimmonstile {

namespace {

// Late jobs are refused after they have been passed over for this long: about twice the latency objective of
// the shortest jobs (156 ms), so that short bursts, after which they can still be served, refuse hardly any.
constexpr milliseconds refusal_delay{300};

// Minimum number of other runs started meanwhile; fewer can be chance, or a sign of a stall.
constexpr std::size_t min_other_starts = 8;

// The overload has ended if no late job was passed over for this long.
constexpr milliseconds reset_interval{500};

} // namespace

void late_job_patience::passed_over(std::size_t other_starts, time_point now) {
    if (!starved_since_ || now - last_passed_over_ > reset_interval) {
        starved_since_ = now;
        other_starts_ = 0;
    }
    last_passed_over_ = now;
    other_starts_ += other_starts;
}

bool late_job_patience::is_over(time_point now) const {
    return starved_since_ && now - *starved_since_ >= refusal_delay && other_starts_ >= min_other_starts;
}

} // namespace persimmonstile
