#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to agent: the reply to view_ping. The agent's view is current until sent_ns + lease_ns on the agent's
// own clock. The lease counts from the time at which the agent sent the ping, so network delays shorten it
// and never extend it.
struct view_pong {
    std::int64_t sent_ns = 0;
    // Time left on the entry's majority of grants; 0 without a majority.
    std::int64_t lease_ns = 0;
    table_version version = 0;
    config_revision revision = 0;
    // A majority of the grantors has the agent's incarnation on record.
    bool is_agent_recorded = false;

    static constexpr auto members() {
        return std::make_tuple(&view_pong::sent_ns, &view_pong::lease_ns, &view_pong::version,
                               &view_pong::revision, &view_pong::is_agent_recorded);
    }
};

} // namespace persimmonstile
