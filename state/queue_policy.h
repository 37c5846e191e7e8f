#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace persimmonstile {

// Scheduling settings of one queue, and the host and path that select it.
struct queue_policy {
    std::string name;
    // Requests to this host whose path starts with path_prefix go to this queue. If several prefixes match,
    // the longest is used.
    std::string host;
    std::string path_prefix;
    std::string service;
    // Number of failed runs of one task after which the job fails.
    std::uint32_t max_attempts = 1;
    // 0 is the highest priority. Read from the configuration, but not used for scheduling.
    std::uint32_t priority = 0;
    // A job meets its target if it takes no longer than stretch times its critical path, plus slack.
    double max_stretch = 1;
    std::chrono::milliseconds slack{0};
};

} // namespace persimmonstile
