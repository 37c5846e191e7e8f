#pragma once

#include "state/store_call.h"

#include <cstddef>

namespace persimmonstile {

// Maximum number of conditions, values and removals together that the store accepts in one write.
constexpr std::size_t max_write_entries = 32;

inline std::size_t count_entries(const store_write& write) {
    return write.conditions.size() + write.puts.size() + write.removals.size();
}

} // namespace persimmonstile
