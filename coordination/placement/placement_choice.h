#pragma once

#include <cstdint>

namespace persimmonstile {

// What happens to a waiting task.
//   none: no agent has, or will have, capacity for it
//   start: it is sent to an agent with capacity
//   wait: it waits at the entry for capacity of an agent
enum class placement_choice : std::uint8_t { none, start, wait };

} // namespace persimmonstile
