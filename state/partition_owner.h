#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>

namespace persimmonstile {

// Owner of one partition and the fencing epoch that began with its ownership.
struct partition_owner {
    incarnation owner;
    epoch_number epoch = 0;

    bool operator==(const partition_owner&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&partition_owner::owner, &partition_owner::epoch);
    }
};

} // namespace persimmonstile
