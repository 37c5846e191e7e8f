#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Reports that this entry now owns the partition. suspects are all agent incarnations that may have started
// tasks under earlier epochs; empty with is_first_epoch set means that there was no earlier owner.
struct partition_gain {
    partition_id partition = 0;
    epoch_number epoch = 0;
    bool is_first_epoch = false;
    std::vector<incarnation> suspects;

    static constexpr auto members() {
        return std::make_tuple(&partition_gain::partition, &partition_gain::epoch,
                               &partition_gain::is_first_epoch, &partition_gain::suspects);
    }
};

} // namespace persimmonstile
