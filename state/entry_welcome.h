#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Entry to agent, first on each connection and on every change: who the entry is, and what the agent needs to
// know of the deployment.
struct entry_welcome {
    // Owns the runs of jobs that are not kept.
    incarnation process;
    // Owns the runs of kept jobs. Number 0 while the entry has no session.
    incarnation session;
    // Peer addresses of all entries.
    std::vector<std::string> entry_addresses;
    // Availability zones that are out of service, and the version of that list.
    std::vector<std::string> zones_out;
    std::uint64_t zones_version = 0;

    static constexpr auto members() {
        return std::make_tuple(&entry_welcome::process, &entry_welcome::session,
                               &entry_welcome::entry_addresses, &entry_welcome::zones_out,
                               &entry_welcome::zones_version);
    }
};

} // namespace persimmonstile
