#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Entry to entry, first on each connection and again whenever the session changes: identity of the sender.
struct peer_introduction {
    std::string name;
    // The number is 0 while the entry has no session.
    incarnation session;

    static constexpr auto members() {
        return std::make_tuple(&peer_introduction::name, &peer_introduction::session);
    }
};

} // namespace persimmonstile
