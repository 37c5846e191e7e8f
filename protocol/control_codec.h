#pragma once

#include "protocol/decode_error.h"
#include "protocol/encoded_frame.h"
#include "state/control_message.h"

#include <memory>
#include <string_view>
#include <variant>

namespace persimmonstile {

// Encodes grants and view pings, which are sent several times a second on each connection, as MessagePack,
// because their JSON-RPC form alone would exceed the 2 KB/s that a daemon may spend on control. All others
// are JSON-RPC notifications.
encoded_frame encode_control_message(const control_message& message);

// Decodes control frames of both kinds. Not thread-safe; each connection has its own.
class control_decoder {
public:
    control_decoder();
    ~control_decoder();
    control_decoder(const control_decoder&) = delete;
    control_decoder& operator=(const control_decoder&) = delete;

    std::variant<control_message, decode_error> decode(frame_kind kind, std::string_view bytes);

private:
    class rpc_server;
    std::unique_ptr<rpc_server> server_;
};

} // namespace persimmonstile
