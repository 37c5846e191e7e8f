#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// State of one task, as known to its agent.
//   succeeded    the backend server answered 2xx with the task's own id
//   failed       the backend server ran the task and reported an error
//   not_started  the task did not start on this agent and never will; it may run elsewhere
//   unknown      the task may have started, and its result is lost
//   running      started and not ended (only in replies to query_job)
enum class task_status : std::uint8_t { succeeded, failed, not_started, unknown, running };

constexpr std::string_view to_string(task_status status) {
    switch (status) {
    case task_status::succeeded:
        return "succeeded";
    case task_status::failed:
        return "failed";
    case task_status::not_started:
        return "not_started";
    case task_status::unknown:
        return "unknown";
    case task_status::running:
        return "running";
    }
    return "unknown";
}

} // namespace persimmonstile
