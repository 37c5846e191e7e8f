#pragma once

#include <tuple>

namespace persimmonstile {

// Time went on; deadlines may have passed.
struct clock_tick {
    static constexpr auto members() { return std::make_tuple(); }
};

} // namespace persimmonstile
