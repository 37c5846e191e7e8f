#pragma once

#include "state/store_call.h"
#include "state/store_reply.h"
#include "transport/http_server.h"

#include <optional>

namespace persimmonstile {

// The server side of the platform's store protocol, for stand-ins. Values are bytes that only clients
// understand, so records arrive and leave as text.

// What a request asks the store for; empty if it is no such request.
std::optional<store_call> decode_kv_request(const http_request& request);

// The response that carries the reply to the call.
http_response encode_kv_reply(const store_call& call, const store_reply& reply);

} // namespace persimmonstile
