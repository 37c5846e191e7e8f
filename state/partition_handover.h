#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Former owner to its direct successor, when it learns that it lost the partition: the hashes of all jobs of
// the partition that it knows, and since when it knew every new one. The successor then treats ids as new
// that the former owner would have treated as new, and need not ask agents about them. A former owner that
// died sends none.
struct partition_handover {
    partition_id partition = 0;
    // Epoch that the former owner held.
    epoch_number epoch = 0;
    // No owner existed before the former one.
    bool first_epoch = false;
    // Calendar time at which the former owner's knowledge begins.
    std::int64_t known_since_ns = 0;
    std::vector<std::uint64_t> jobs;

    static constexpr auto members() {
        return std::make_tuple(&partition_handover::partition, &partition_handover::epoch,
                               &partition_handover::first_epoch, &partition_handover::known_since_ns,
                               &partition_handover::jobs);
    }
};

} // namespace persimmonstile
