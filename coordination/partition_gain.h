#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Reports that this entry now owns the partition.
struct partition_gain {
    partition_id partition = 0;
    epoch_number epoch = 0;
    bool is_first_epoch = false;
    // All agent incarnations that may have started tasks under earlier epochs. Empty if is_first_epoch is
    // set, because there was no earlier owner.
    std::vector<incarnation> previous_agents;

    static constexpr auto members() {
        return std::make_tuple(&partition_gain::partition, &partition_gain::epoch,
                               &partition_gain::is_first_epoch, &partition_gain::previous_agents);
    }
};

} // namespace persimmonstile
