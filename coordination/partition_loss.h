#pragma once

#include "state/ids.h"

#include <tuple>

namespace persimmonstile {

// This entry does not own the partition any more.
struct partition_loss {
    partition_id partition = 0;

    static constexpr auto members() { return std::make_tuple(&partition_loss::partition); }
};

} // namespace persimmonstile
