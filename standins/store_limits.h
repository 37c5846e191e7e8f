#pragma once

#include <cstddef>

namespace persimmonstile {

// Limits of the platform's key-value service. A pending watch uses one read per second.
struct store_limits {
    double writes_per_second = 300;
    double reads_per_second = 2000;
    std::size_t max_value_bytes = std::size_t{1024} * 1024;
};

} // namespace persimmonstile
