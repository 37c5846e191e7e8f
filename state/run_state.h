#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// State of one run, as known to its agent.
//   queued: accepted, waits at the agent for free capacity
//   starting: start order sent to the backend server, not yet confirmed
//   running: confirmed by the backend server
//   done: ended successfully
//   failed: ended through its own fault or the backend server's
//   stopped: ended by a stop order
//   lapsed: ended because its lease expired, or lost with the backend server
//   broken: ended because another task of its gang ended
//   alone: ended because other tasks of its gang did not start
//   refused: not started, and never will be under this run number
enum class run_state : std::uint8_t {
    queued,
    starting,
    running,
    done,
    failed,
    stopped,
    lapsed,
    broken,
    alone,
    refused
};

// Whether the state can no longer change.
constexpr bool is_final(run_state state) {
    return state >= run_state::done;
}

constexpr std::string_view to_string(run_state state) {
    switch (state) {
    case run_state::queued:
        return "queued";
    case run_state::starting:
        return "starting";
    case run_state::running:
        return "running";
    case run_state::done:
        return "done";
    case run_state::failed:
        return "failed";
    case run_state::stopped:
        return "stopped";
    case run_state::lapsed:
        return "lapsed";
    case run_state::broken:
        return "broken";
    case run_state::alone:
        return "alone";
    case run_state::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace persimmonstile
