#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Grantor to entry: the latest version of the owner table that the grantor has acknowledged. From then on the
// grantor refuses grants under older versions.
struct table_ack {
    incarnation grantor;
    table_version version = 0;
    // The grantor has restarted and does not know yet what it acknowledged before.
    bool is_recovering = false;
    // Every agent incarnation that the grantor has on record.
    std::vector<incarnation> recorded;

    static constexpr auto members() {
        return std::make_tuple(&table_ack::grantor, &table_ack::version, &table_ack::is_recovering,
                               &table_ack::recorded);
    }
};

} // namespace persimmonstile
