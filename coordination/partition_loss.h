#pragma once

#include "state/ids.h"

#include <tuple>

namespace persimmonstile {

// Reports that this entry no longer owns the partition.
struct partition_loss {
    partition_id partition = 0;

    static constexpr auto members() { return std::make_tuple(&partition_loss::partition); }
};

} // namespace persimmonstile
