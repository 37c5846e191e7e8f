#pragma once

namespace persimmonstile {

// What happens to a run if other entries have taken the free capacity before it arrives. The agent holds it
// until capacity is free, and returns it if that takes too long.
struct shortage_outlook {
    // Probability that the run finds no capacity, and that it is returned.
    double shortage_probability = 0;
    double return_probability = 0;
    // Time from sending a run to its return.
    double return_seconds = 0;

    // Expected cost in seconds, weighted for a job that could lose spare_seconds and still end in time.
    // spare_seconds is negative if the job is late.
    double cost(double spare_seconds) const;
};

} // namespace persimmonstile
