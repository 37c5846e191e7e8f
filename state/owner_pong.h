#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to agent, in answer to view_ping, or with start_runs: the entry was there at sent_ns on the agent's
// clock. Counting from the agent's sending time makes delays on the way shorten what follows and never extend
// it. 0 says nothing.
struct owner_pong {
    std::int64_t sent_ns = 0;
    // The session is not known to be deposed, and the store was heard of lately.
    bool is_session_certain = false;

    static constexpr auto members() {
        return std::make_tuple(&owner_pong::sent_ns, &owner_pong::is_session_certain);
    }
};

} // namespace persimmonstile
