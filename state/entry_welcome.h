#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Entry to agent, first on each connection and again on every change: identity of the entry, addresses of all
// entries and excluded availability zones.
struct entry_welcome {
    // Owner of the runs of non-durable jobs.
    incarnation process;
    // Owner of the runs of durable jobs. session.number is 0 while the entry has no session.
    incarnation session;
    // Peer addresses of all entries, as "ip:port".
    std::vector<std::string> entry_addresses;
    // Availability zones that are out of service, and the version of this list.
    std::vector<std::string> zones_out;
    std::uint64_t zones_version = 0;

    static constexpr auto members() {
        return std::make_tuple(&entry_welcome::process, &entry_welcome::session,
                               &entry_welcome::entry_addresses, &entry_welcome::zones_out,
                               &entry_welcome::zones_version);
    }
};

} // namespace persimmonstile
