#pragma once

#include "state/incarnation.h"
#include "state/queue_count.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Entry to entry: the sender's number of pending jobs in each queue, and the revision of its configuration. A
// queue that is not listed has no pending jobs.
struct queue_counts {
    std::vector<queue_count> counts;
    // Store revision of the latest change to the operators' records that the sender knows. These records are
    // the configuration and the availability zones that are out of service.
    std::uint64_t config_revision = 0;
    // The former sessions whose jobs the sender has adopted and counts.
    std::vector<incarnation> adopted;

    static constexpr auto members() {
        return std::make_tuple(&queue_counts::counts, &queue_counts::config_revision, &queue_counts::adopted);
    }
};

} // namespace persimmonstile
