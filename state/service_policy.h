#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace persimmonstile {

// Effective settings of one service, with defaults and exceptions applied.
struct service_policy {
    std::string name;
    std::uint32_t max_tasks = 560;
    std::chrono::milliseconds default_deadline{60000};
    // Maximum number of waiting tasks of this service at one entry. Jobs beyond it are refused.
    std::uint32_t queue_limit = 20000;
    // Methods of single requests that may run more than once.
    std::set<std::string> idempotent_methods;
};

} // namespace persimmonstile
