#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Why an agent refused a run or ended it.
//   none: the agent neither refused nor ended the run
//   owner_deposed: another session has succeeded the owner
//   owner_silent: no contact with the owner for too long, or no caller waits for the job any longer
//   no_backend: the backend server is unknown or unreachable, or has lost the run, or the agent does not know
//     yet which runs the backend server has
//   draining: the agent or the backend server is shutting down
//   zone_out: the availability zone is out of service
//   no_room: not enough free capacity within the queue timeout, or according to the backend server
//   old_run: this run, or a later run of the task, was stopped or has ended on the backend server
//   unhealthy_backend: the backend server refused the run for now
//   invalid_order: the backend server could not interpret the start order
//   stalled: the run made no progress
//   withdrawn: the owner requested the stop; also any other requested stop (for instance owner_silent) of a
//     run whose start order was not executed
enum class run_refusal : std::uint8_t {
    none,
    owner_deposed,
    owner_silent,
    no_backend,
    draining,
    zone_out,
    no_room,
    old_run,
    unhealthy_backend,
    invalid_order,
    stalled,
    withdrawn
};

constexpr std::string_view to_string(run_refusal reason) {
    switch (reason) {
    case run_refusal::none:
        return "none";
    case run_refusal::owner_deposed:
        return "owner_deposed";
    case run_refusal::owner_silent:
        return "owner_silent";
    case run_refusal::no_backend:
        return "no_backend";
    case run_refusal::draining:
        return "draining";
    case run_refusal::zone_out:
        return "zone_out";
    case run_refusal::no_room:
        return "no_room";
    case run_refusal::old_run:
        return "old_run";
    case run_refusal::unhealthy_backend:
        return "unhealthy_backend";
    case run_refusal::invalid_order:
        return "invalid_order";
    case run_refusal::stalled:
        return "stalled";
    case run_refusal::withdrawn:
        return "withdrawn";
    }
    return "none";
}

} // namespace persimmonstile
