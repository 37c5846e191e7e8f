#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Entry to entry, first on each connection and again whenever the sender's session changes: identity of the
// sender.
struct peer_hello {
    std::string name;
    // session.number is 0 while the entry has no session.
    incarnation session;
    // The sender understands room_request and answers it with agents. False for versions without that
    // message, which close a connection that it arrives on.
    bool lends_agents = false;

    static constexpr auto members() {
        return std::make_tuple(&peer_hello::name, &peer_hello::session, &peer_hello::lends_agents);
    }
};

} // namespace persimmonstile
