#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// What a frame between two processes of the system holds. The numbers are part of the wire format.
//   heartbeat  nothing; shows that the connection works
//   task       a task message in MessagePack
//   periodic   a control message that is sent several times a second, in MessagePack
//   rpc        any other control message, as a JSON-RPC notification
//   work       a message of a deployment whose jobs are kept in the store, in MessagePack
enum class frame_kind : std::uint8_t { heartbeat = 0, task = 1, periodic = 2, rpc = 3, work = 4 };

// One frame without its length.
struct encoded_frame {
    frame_kind kind = frame_kind::heartbeat;
    std::string payload;
};

} // namespace persimmonstile
