#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Stored record of an entry under its name: the session that may write, and the address at which other
// processes reach the entry.
struct member_entry {
    incarnation session;
    std::string peer_address;
    std::string zone;
    // The process is shutting down; its jobs may be adopted immediately.
    bool is_leaving = false;

    static constexpr auto members() {
        return std::make_tuple(&member_entry::session, &member_entry::peer_address, &member_entry::zone,
                               &member_entry::is_leaving);
    }
};

} // namespace persimmonstile
