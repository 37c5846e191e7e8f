#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Agent to entry, every view_ping_interval: the agent's clock reading, which the entry returns in view_pong.
struct view_ping {
    std::int64_t sent_ns = 0;

    static constexpr auto members() { return std::make_tuple(&view_ping::sent_ns); }
};

} // namespace persimmonstile
