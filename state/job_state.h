#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// State of a job as its caller sees it.
//   unknown   no entry knows the job
//   queued    accepted, no task has started
//   running   a task has started
//   completed every task has succeeded
//   failed    a task has failed as often as its queue allows
//   cancelled a caller has cancelled the job
enum class job_state : std::uint8_t { unknown, queued, running, completed, failed, cancelled };

constexpr bool is_final(job_state state) {
    return state >= job_state::completed;
}

constexpr std::string_view to_string(job_state state) {
    switch (state) {
    case job_state::unknown:
        return "unknown";
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace persimmonstile
