#pragma once

#include "protocol/control_codec.h"
#include "state/incarnation.h"
#include "transport/frame_connection.h"

#include <memory>
#include <optional>
#include <string>

namespace persimmonstile {

// One connection and what is known of its other end. Used on the connection's strand only.
struct peer_session {
    std::shared_ptr<frame_connection> connection;
    control_decoder decoder;
    std::optional<incarnation> entry;
    std::optional<incarnation> agent;
    // Dialed address, empty for accepted connections.
    std::string address;
};

} // namespace persimmonstile
