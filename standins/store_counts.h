#pragma once

#include <cstdint>

namespace persimmonstile {

// Calls that the store stand-in received, by kind. over_limit and during_outage are refused ones, which are
// also counted by their kind.
struct store_counts {
    std::uint64_t ranges = 0;
    std::uint64_t puts = 0;
    std::uint64_t txns = 0;
    std::uint64_t watches = 0;
    std::uint64_t lease_grants = 0;
    std::uint64_t lease_keepalives = 0;
    std::uint64_t over_limit = 0;
    std::uint64_t during_outage = 0;
    std::uint64_t pending_watches = 0;
};

} // namespace persimmonstile
