#pragma once

#include "state/resources.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Entry to entry: tasks wait at the sender, and no agent that serves it can run them. The receiver asks
// suitable agents that serve the receiver and not the sender to connect to the sender.
struct room_request {
    // Address at which the agents connect to the sender, "ip:port".
    std::string entry_address;
    std::string service;
    // Needs of one task.
    resources needs;
    // Label that the backend server must have; empty for none.
    std::string required_label;
    // Maximum number of agents that the receiver asks.
    std::uint32_t wanted = 0;

    static constexpr auto members() {
        return std::make_tuple(&room_request::entry_address, &room_request::service, &room_request::needs,
                               &room_request::required_label, &room_request::wanted);
    }
};

} // namespace persimmonstile
