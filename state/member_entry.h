#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// The record of an entry under its name: the session that may write, and where other processes reach it.
struct member_entry {
    incarnation session;
    std::string peer_address;
    std::string zone;
    // The process ends; its jobs may be adopted at once.
    bool is_leaving = false;

    static constexpr auto members() {
        return std::make_tuple(&member_entry::session, &member_entry::peer_address, &member_entry::zone,
                               &member_entry::is_leaving);
    }
};

} // namespace persimmonstile
