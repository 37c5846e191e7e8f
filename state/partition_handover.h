#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Former owner to its direct successor, when the former owner learns that it lost the partition: the hashes
// of all jobs of the partition that it knows. The successor then treats an id as new if the former owner
// would have done so, and need not query agents about it. A former owner that crashed sends no handover.
struct partition_handover {
    partition_id partition = 0;
    // Epoch that the former owner held.
    epoch_number epoch = 0;
    // jobs is complete since the first epoch of the partition, so known_since_ns does not matter.
    bool is_first_epoch = false;
    // Calendar time in nanoseconds since 1970. The former owner knows every job submitted after it.
    std::int64_t known_since_ns = 0;
    std::vector<std::uint64_t> jobs;

    static constexpr auto members() {
        return std::make_tuple(&partition_handover::partition, &partition_handover::epoch,
                               &partition_handover::is_first_epoch, &partition_handover::known_since_ns,
                               &partition_handover::jobs);
    }
};

} // namespace persimmonstile
