#include "coordination/placement/shortage_outlook.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// A job ends with its last task, so a delay of any of its tasks delays the whole job. The weight of a delay
// grows with the square of the share of the spare time that a return takes: one return leaves a short job in
// time, a second one seldom does.
constexpr double spare_time_weight = 4;

// A run that is held and not returned waits for half of the time of a return on average.
constexpr double held_fraction = 0.5;

} // namespace

double shortage_outlook::cost(double spare_seconds) const {
    const double share = spare_seconds > return_seconds ? return_seconds / spare_seconds : 1;
    const double held_probability = std::max(0.0, shortage_probability - return_probability);
    return (return_probability + held_fraction * held_probability) * return_seconds *
           (1 + spare_time_weight * share * share);
}

} // namespace persimmonstile
