#pragma once

#include "state/queue_count.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Entry to entry: its counts of all queues, and how new its configuration is. Queues that are not listed
// count 0.
struct queue_counts {
    std::vector<queue_count> counts;
    // Revision of the store at the last change of the operators' records that the entry knows.
    std::uint64_t config_revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&queue_counts::counts, &queue_counts::config_revision);
    }
};

} // namespace persimmonstile
