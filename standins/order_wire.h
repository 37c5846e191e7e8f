#pragma once

#include "coordination/backend_announcement.h"
#include "coordination/backend_order.h"
#include "coordination/backend_reply.h"
#include "transport/http_server.h"

#include <optional>
#include <string>

namespace persimmonstile {

// The backend server's side of the platform's protocol for orders, for stand-ins.

// The order in a request; empty if it is none.
std::optional<backend_order> decode_order_request(const http_request& request);

// The response that carries the reply. A reply that was not given has no response.
http_response encode_order_reply(const backend_reply& reply);

// The body with which a backend server reports itself.
std::string encode_announcement(const backend_announcement& announcement, const std::string& address);

} // namespace persimmonstile
