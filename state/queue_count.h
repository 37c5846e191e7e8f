#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Number of jobs of one queue that one entry has accepted and of which no task has started.
struct queue_count {
    std::string queue;
    std::uint64_t pending = 0;

    static constexpr auto members() { return std::make_tuple(&queue_count::queue, &queue_count::pending); }
};

} // namespace persimmonstile
