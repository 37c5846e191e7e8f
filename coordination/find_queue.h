#pragma once

#include "state/deployment_config.h"
#include "state/queue_policy.h"

#include <string_view>

namespace persimmonstile {

// Finds the queue for a call. Of the queues with the call's host, it is the one with the longest path prefix
// that matches. Returns null if none matches.
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

inline const queue_policy* find_queue_by_name(const deployment_config& config, std::string_view name) {
    for (const queue_policy& queue : config.queues) {
        if (queue.name == name)
            return &queue;
    }
    return nullptr;
}

} // namespace persimmonstile
