#pragma once

#include "protocol/daemon_settings.h"
#include "transport/http_server.h"

#include <cstddef>

namespace persimmonstile {

// The shares of the process's memory for requests and of its descriptors that its HTTP servers get. Fixed
// shares prevent many clients of one socket from using up what another one needs.

// For the socket that takes callers' requests or backend servers' reports.
http_limits caller_limits(const daemon_settings& settings, std::size_t max_body_bytes);
// For readiness, metrics, and sockets that few clients use.
http_limits internal_limits(const daemon_settings& settings, std::size_t max_body_bytes);

// Connections that other processes of the system open to this one.
std::size_t max_peer_connections();

} // namespace persimmonstile
