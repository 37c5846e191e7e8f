#include "coordination/late_job_patience.h"

namespace persimmonstile {

namespace {

// Late jobs are passed over for so long before they are refused: about twice the objective of the shortest
// jobs (156 ms), so that short bursts, after which they can still be served, refuse hardly any.
constexpr milliseconds patience{300};

// Runs of others that must have begun meanwhile; fewer can be chance, or show a stall.
constexpr std::size_t least_others_begun = 8;

// When no late job has waited for so long, the rush is over.
constexpr milliseconds memory{500};

} // namespace

void late_job_patience::passed_over(std::size_t others_begun, time_point now) {
    if (!starved_since_ || now - last_passed_over_ > memory) {
        starved_since_ = now;
        others_begun_ = 0;
    }
    last_passed_over_ = now;
    others_begun_ += others_begun;
}

bool late_job_patience::is_over(time_point now) const {
    return starved_since_ && now - *starved_since_ >= patience && others_begun_ >= least_others_begun;
}

} // namespace persimmonstile
