#pragma once

#include <tuple>

namespace persimmonstile {

// Event that reports that time has passed, so that expired deadlines are handled.
struct clock_tick {
    static constexpr auto members() { return std::make_tuple(); }
};

} // namespace persimmonstile
