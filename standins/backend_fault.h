#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace persimmonstile {

// Misbehaviour of a backend server stand-in.
//   none           answers as announced
//   fail           answers every task with 500 as soon as it starts
//   hang           starts tasks and never answers
//   slow           runs twenty times slower
//   wrong_task_id  answers under the id of another task
//   swap           exchanges the answers of two tasks that run at the same time
//   twice_late     sends each answer late, and a second time later on the same connection
//   decline        does not start tasks: 503 with Task-Not-Started
enum class backend_fault : std::uint8_t { none, fail, hang, slow, wrong_task_id, swap, twice_late, decline };

// Name on the command line and in /control/fault.
std::string_view to_string(backend_fault fault);

// Empty for an unknown name.
std::optional<backend_fault> parse_backend_fault(std::string_view name);

} // namespace persimmonstile
