#pragma once

#include "protocol/control_codec.h"
#include "state/incarnation.h"
#include "transport/frame_connection.h"

#include <memory>
#include <optional>
#include <string>

namespace persimmonstile {

// A connection with the identity of its peer and the state of its decoder. Used on the connection's strand
// only.
struct peer_session {
    std::shared_ptr<frame_connection> connection;
    control_decoder decoder;
    std::optional<incarnation> entry;
    std::optional<incarnation> agent;
    // The dialed address; empty for accepted connections.
    std::string address;
};

} // namespace persimmonstile
