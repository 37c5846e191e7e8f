#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Stored record of an entry, under its name: the session that may write to the store, and the address at
// which other processes reach the entry.
struct entry_record {
    incarnation session;
    std::string peer_address;
    std::string zone;
    // The process is shutting down; its jobs may be adopted immediately.
    bool is_leaving = false;

    static constexpr auto members() {
        return std::make_tuple(&entry_record::session, &entry_record::peer_address, &entry_record::zone,
                               &entry_record::is_leaving);
    }
};

} // namespace persimmonstile
