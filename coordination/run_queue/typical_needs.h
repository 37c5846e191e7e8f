#pragma once

#include "state/resources.h"

#include <cstddef>
#include <deque>

namespace persimmonstile {

// The mean needs of the latest runs that an agent has accepted.
class typical_needs {
public:
    void add(const resources& needs);

    // Whether a run with the mean needs fits. True while no run has been accepted.
    bool fits_in(const resources& available) const;

private:
    // Enough to smooth the mixture of kinds, and renewed within a second at 20 runs per second and agent.
    static constexpr std::size_t max_runs = 16;

    std::deque<resources> latest_;
    resources sum_;
};

} // namespace persimmonstile
