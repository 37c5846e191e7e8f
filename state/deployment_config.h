#pragma once

#include "state/queue_policy.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// One version of the configuration written by the operators, and the availability zones that are out of
// service.
struct deployment_config {
    std::uint64_t version = 0;
    std::vector<queue_policy> queues;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    std::set<std::string> zones_out;
    // Increases with each change of zones_out.
    std::uint64_t zones_version = 0;
};

} // namespace persimmonstile
