#pragma once

#include <cstddef>
#include <cstdint>

namespace persimmonstile {

// The durations that an entry measures.
//   queue   from the arrival of a job to the first placement of one of its tasks
//   start   from the placement of a task to the report that it runs
//   run     run time of a task on its backend server
//   record  from the end of a job until that end is in the store
enum class entry_timing : std::uint8_t { queue, start, run, record };
constexpr std::size_t entry_timing_count = static_cast<std::size_t>(entry_timing::record) + 1;

} // namespace persimmonstile
