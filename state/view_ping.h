#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Agent to entry, every view_ping_interval: a reading of the agent's clock, which the entry returns in
// view_pong or owner_pong.
struct view_ping {
    std::int64_t sent_ns = 0;

    static constexpr auto members() { return std::make_tuple(&view_ping::sent_ns); }
};

} // namespace persimmonstile
