#pragma once

#include <cstddef>
#include <cstdint>

namespace persimmonstile {

// The times that an entry measures.
//   queue   from the arrival of a job to the placement of its first task
//   start   from the placement of a task to the news that it runs
//   run     a task at its backend server
//   record  from the end of a job to its record in the store
enum class entry_timing : std::uint8_t { queue, start, run, record };
constexpr std::size_t entry_timing_count = static_cast<std::size_t>(entry_timing::record) + 1;

} // namespace persimmonstile
