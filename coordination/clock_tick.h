#pragma once

#include <tuple>

namespace persimmonstile {

// Reports that time has passed, so deadlines may have expired.
struct clock_tick {
    static constexpr auto members() { return std::make_tuple(); }
};

} // namespace persimmonstile
