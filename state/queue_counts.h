#pragma once

#include "state/queue_count.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Entry to entry: its counts of all queues. Queues that are not listed count 0.
struct queue_counts {
    std::vector<queue_count> counts;

    static constexpr auto members() { return std::make_tuple(&queue_counts::counts); }
};

} // namespace persimmonstile
