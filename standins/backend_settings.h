#pragma once

#include "standins/backend_fault.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmonstile {

// Settings of one backend server stand-in.
struct backend_settings {
    // Written into each start, so that logs of several servers can be merged.
    std::string name = "backend";
    // 0 lets the system choose.
    std::uint16_t port = 0;
    // Base URL of the agent that receives the announcements; empty for none.
    std::string agent_url;
    std::string service = "default";
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    // Run times are divided by this factor.
    double speed = 1.0;
    // Replaces run_ms of the task bodies; it is divided by speed too.
    std::optional<std::chrono::milliseconds> fixed_run_time;
    backend_fault fault = backend_fault::none;
    // File that receives one JSON line per start; empty for none.
    std::string start_log;
};

} // namespace persimmonstile
