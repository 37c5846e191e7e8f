#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Grantor to entry: the newest table version it acknowledges, and every agent incarnation on its record.
// From then on it refuses grants under older versions.
struct table_ack {
    incarnation grantor;
    table_version version = 0;
    bool recovering = false;
    std::vector<incarnation> recorded;

    static constexpr auto members() {
        return std::make_tuple(&table_ack::grantor, &table_ack::version, &table_ack::recovering,
                               &table_ack::recorded);
    }
};

} // namespace persimmonstile
