#pragma once

#include "coordination/fair_queue.h"

#include <array>
#include <cstddef>

namespace persimmonstile {

// Tracks how the tasks of recent jobs are distributed over the size classes of fair_queue.
class job_size_distribution {
public:
    void add(std::size_t size_class, std::size_t tasks) {
        counts_[size_class] += static_cast<double>(tasks);
        total_ += static_cast<double>(tasks);
        if (total_ < decay_threshold_tasks)
            return;
        for (double& count : counts_)
            count /= 2;
        total_ /= 2;
    }

    // Fraction of the tasks that belong to jobs of smaller classes.
    double fraction_below(std::size_t size_class) const {
        double below = 0;
        for (std::size_t i = 0; i < size_class; ++i)
            below += counts_[i];
        return total_ > 0 ? below / total_ : 0;
    }

private:
    // All counts are halved when their sum reaches this number. It is some tens of times the size of the
    // largest jobs, so that a single job has little effect on the distribution.
    static constexpr double decay_threshold_tasks = 20000;

    std::array<double, fair_queue::size_classes> counts_{};
    double total_ = 0;
};

} // namespace persimmonstile
