#pragma once

#include "state/deployment_config.h"
#include "state/queue_policy.h"

#include <string_view>

namespace persimmonstile {

// The queue that a call reaches: of those with its host, the one with the longest prefix of its path. Null if
// there is none.
inline const queue_policy* find_queue(const deployment_config& config, std::string_view host,
                                      std::string_view path) {
    const queue_policy* best = nullptr;
    for (const queue_policy& queue : config.queues) {
        if (queue.host == host && path.starts_with(queue.path_prefix) &&
            (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()))
            best = &queue;
    }
    return best;
}

inline const queue_policy* find_queue_named(const deployment_config& config, std::string_view name) {
    for (const queue_policy& queue : config.queues) {
        if (queue.name == name)
            return &queue;
    }
    return nullptr;
}

} // namespace persimmonstile
