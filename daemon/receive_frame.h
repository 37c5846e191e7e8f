#pragma once

#include "daemon/peer_session.h"
#include "protocol/task_codec.h"
#include "transport/logging.h"

#include <string>
#include <string_view>

namespace persimmonstile {

// Decodes one frame and passes its message to on_task or on_control. A malformed frame closes the connection,
// because the frames after it cannot be trusted either.
template <typename On_task, typename On_control>
void receive_frame(peer_session& session, frame_kind kind, std::string_view payload,
                   std::string_view component, const On_task& on_task, const On_control& on_control) {
    std::string error;
    if (kind == frame_kind::task) {
        const auto decoded = decode_task_message(payload);
        if (const auto* message = std::get_if<task_message>(&decoded))
            on_task(*message);
        else
            error = std::get<decode_error>(decoded).detail;
    } else {
        const auto decoded = session.decoder.decode(kind, payload);
        if (const auto* message = std::get_if<control_message>(&decoded))
            on_control(*message);
        else
            error = std::get<decode_error>(decoded).detail;
    }
    if (error.empty())
        return;
    log_event(log_level::warn, component, "closing a connection that sent a malformed frame",
              {{"detail", error}});
    session.connection->close("malformed frame");
}

} // namespace persimmonstile
