#pragma once

#include "coordination/robust_average.h"
#include "state/time.h"

#include <chrono>

namespace persimmonstile {

// Learns from the runs that agents return without starting them: how often a shortage of capacity at the
// agent leads to a return (it may end within the time for which the agent holds the run), and how long a
// return takes.
class return_statistics {
public:
    // A run was sent whose predicted probability to find no capacity is this.
    void record_start(double shortage_probability);
    void record_return(std::chrono::nanoseconds since_sent);

    // Probability that a run is returned, given the probability that it finds no capacity.
    double return_probability(double shortage_probability) const;
    // Time from sending a run to its return.
    double return_seconds() const;

private:
    // Sums over past runs of which later ones have more weight.
    double predicted_shortages_ = 10;
    double returns_ = 5;
    robust_average delay_{16};
};

} // namespace persimmonstile
