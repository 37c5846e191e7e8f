#pragma once

#include <string>
#include <tuple>

namespace persimmonstile {

// Entry to the other entries, which pass it on to their agents: agents that are not connected to the entry at
// this address should connect to it, although it is not one of the entries that they serve. It has adopted
// durable jobs and must learn which of their runs these agents know, or it has sent a room_request.
struct connection_request {
    // Peer address of the entry, "ip:port".
    std::string entry_address;
    // The entry has waiting tasks instead of adopted jobs. The agent bounds the number of such requests.
    bool is_for_capacity = false;

    static constexpr auto members() {
        return std::make_tuple(&connection_request::entry_address, &connection_request::is_for_capacity);
    }
};

} // namespace persimmonstile
