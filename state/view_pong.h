#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to agent: the reply to view_ping. lease_ns is the time left on the entry's majority of grants, 0
// without a majority. The agent's view is known to be current until sent_ns + lease_ns on its own clock. Time
// is counted from the agent's own sending time, so network delays only shorten the lease and never extend it.
// recorded is true if a majority of the grantors has the agent's incarnation on record.
struct view_pong {
    std::int64_t sent_ns = 0;
    std::int64_t lease_ns = 0;
    table_version version = 0;
    config_revision revision = 0;
    bool recorded = false;

    static constexpr auto members() {
        return std::make_tuple(&view_pong::sent_ns, &view_pong::lease_ns, &view_pong::version,
                               &view_pong::revision, &view_pong::recorded);
    }
};

} // namespace persimmonstile
