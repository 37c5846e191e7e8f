#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// What an agent knows of one run.
//   queued     accepted, waits at the agent for room
//   starting   ordered at the backend server, not yet confirmed
//   running    confirmed by the backend server
//   done       ended with success
//   failed     ended by its own fault or the backend server's
//   stopped    ended by an order
//   lapsed     ended because its lease was not renewed, or lost with the backend server
//   broken     ended because another task of its gang ended
//   alone      ended because the other tasks of its gang did not come
//   refused    has not started and never will under this run number
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

// No further change follows.
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
