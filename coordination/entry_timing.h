#pragma once

#include <cstddef>
#include <cstdint>

namespace persimmonstile {

// The durations that an entry measures.
//   queue   from the arrival of a job to the placement of its first task
//   start   from the placement of a task to the report that it runs
//   run     a task at its backend server
//   record  from the end of a job until it is recorded in the store
enum class entry_timing : std::uint8_t { queue, start, run, record };
constexpr std::size_t entry_timing_count = static_cast<std::size_t>(entry_timing::record) + 1;

} // namespace persimmonstile
