#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to agent, in reply to view_ping or as part of run_start_request: the entry was alive at or after
// sent_ns, a reading of the agent's own clock. Leases count from that reading, so network delays shorten them
// and never extend them.
struct owner_pong {
    // 0 if the entry has received no clock reading from the agent.
    std::int64_t sent_ns = 0;
    // The entry's session is not known to be deposed, and the entry had contact with the store recently.
    bool is_session_certain = false;

    static constexpr auto members() {
        return std::make_tuple(&owner_pong::sent_ns, &owner_pong::is_session_certain);
    }
};

} // namespace persimmonstile
