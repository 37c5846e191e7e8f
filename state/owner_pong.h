#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to agent, in reply to view_ping or with run_start_request: the entry was alive at sent_ns on the
// agent's clock. Time is counted from the agent's sending time, so network delays only shorten leases and
// never extend them. 0 carries no information.
struct owner_pong {
    std::int64_t sent_ns = 0;
    // The session is not known to be deposed, and the entry had contact with the store recently.
    bool is_session_certain = false;

    static constexpr auto members() {
        return std::make_tuple(&owner_pong::sent_ns, &owner_pong::is_session_certain);
    }
};

} // namespace persimmonstile
