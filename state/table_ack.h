#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Grantor to entry: the latest table version that the grantor acknowledges, and every agent incarnation that
// it has on record. From then on the grantor refuses grants under older versions.
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
